/** A completed execution, and how busy the backend server was. */
export type EndedExecution = {
	/** Monotonic clock. */
	readonly startedAtMs: number;
	/** Time that the backend server spent itself, without its inner calls. */
	readonly selfTimeMs: number;
	/** Number of running executions, including this one. */
	readonly running: number;
	/** Whether further calls were queued. */
	readonly hadQueuedCalls: boolean;
};
