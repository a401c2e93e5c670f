import {type CallContext} from '../calls/call-context.js';

/** Work that waits for room at the backend server. */
export type WaitingWork = {
	readonly context: CallContext;
	/** Monotonic clock. */
	readonly enqueuedAtMs: number;
	/** Lets the work run. */
	readonly start: () => void;
	/** Ends the wait without running the work. */
	readonly refuse: (error: Error) => void;
};
