import {type PolicyEventKind} from './policy-event-kind.js';

/** One event of a policy run; a history lists them in order. */
export type PolicyEvent = {
	readonly kind: PolicyEventKind;
	/** Incarnation of the node. */
	readonly incarnation?: string;
	readonly version?: number;
	/** Digest of the complete policy. */
	readonly digest?: string;
	readonly patchId?: string;
	/** Patches that made the latest versions, according to the stored policy. */
	readonly patchIds?: ReadonlyArray<{readonly patchId: string; readonly version: number}>;
};
