import {type CallContext} from '../calls/call-context.js';

/** Call that is queued for execution by the backend server. */
export type QueuedCall = {
	readonly context: CallContext;
	/** Monotonic clock. */
	readonly enqueuedAtMs: number;
	/** Starts the execution. */
	readonly start: () => void;
	/** Ends the wait with an error, without executing the call. */
	readonly refuse: (error: Error) => void;
};
