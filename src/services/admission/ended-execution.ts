/** A completed execution, and how busy the backend server was. */
export type EndedExecution = {
	/** Monotonic clock. */
	readonly beganAtMs: number;
	/** Time that the backend server spent itself, without its inner calls. */
	readonly ownTimeMs: number;
	/** Number of running executions, including this one. */
	readonly running: number;
	/** Whether further calls were queued. */
	readonly hadWaiting: boolean;
};
