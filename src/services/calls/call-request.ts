import {type CallContext} from './call-context.js';

/** One call to a service: the caller's own or a sub-call. */
export type CallRequest = {
	readonly context: CallContext;
	/** Id under which the call runs at most once: the caller's key, or derived for a sub-call. */
	readonly requestId: string;
	readonly service: string;
	/** Name of the operation in the policy. */
	readonly operation: string;
	readonly idempotent: boolean;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Lower-case names; hop-by-hop headers left out. */
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};
