import {type CallContext} from './call-context.js';

/** A call to a service: a root request or an inner call. */
export type CallRequest = {
	readonly context: CallContext;
	/** Id under which the call is executed at most once: the caller's idempotency key, or a derived id for an inner call. */
	readonly requestId: string;
	readonly service: string;
	/** Name of the operation in the policy. */
	readonly operation: string;
	readonly idempotent: boolean;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Names are in lower case; hop-by-hop headers are left out. */
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};
