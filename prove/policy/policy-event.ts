import {type PolicyEventKind} from './policy-event-kind.js';

/** One event of a policy run, in order. */
export type PolicyEvent = {
	readonly kind: PolicyEventKind;
	/** Run of a node, by incarnation. */
	readonly incarnation?: string;
	readonly version?: number;
	/** Digest of the whole policy. */
	readonly digest?: string;
	readonly patchId?: string;
	/** Patches that a stored policy says made its latest versions. */
	readonly patchIds?: ReadonlyArray<{readonly patchId: string; readonly version: number}>;
};
