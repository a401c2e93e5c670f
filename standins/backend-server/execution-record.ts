/** One execution at the stand-in; times are wall-clock milliseconds since the epoch. */
export type ExecutionRecord = {
	readonly requestId: string;
	/** Trace that the root request started. */
	readonly traceId: string;
	readonly method: string;
	readonly target: string;
	readonly startedAtMs: number;
	/** Self time, without inner calls. */
	ownTimeMs: number;
	/** When the execution took effect; undefined if it was cancelled before. */
	effectAtMs?: number;
	endedAtMs?: number;
	status?: number;
};
