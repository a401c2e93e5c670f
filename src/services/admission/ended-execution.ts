/** An execution that ended, and how full the backend server was. */
export type EndedExecution = {
	/** Monotonic clock. */
	readonly beganAtMs: number;
	/** Time of the backend server itself, without its sub-calls. */
	readonly ownTimeMs: number;
	/** Executions that were running, this one included. */
	readonly running: number;
	/** Whether more work was waiting for room. */
	readonly hadWaiting: boolean;
};
