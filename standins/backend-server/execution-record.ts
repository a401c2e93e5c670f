/** One execution at the stand-in; times are wall clock in milliseconds since 1970. */
export type ExecutionRecord = {
	readonly requestId: string;
	/** Trace that the caller's request began. */
	readonly traceId: string;
	readonly method: string;
	readonly target: string;
	readonly startedAtMs: number;
	/** Own time that was worked, sub-calls left out. */
	ownTimeMs: number;
	/** When the work took effect; undefined for work that was cancelled before. */
	effectAtMs?: number;
	endedAtMs?: number;
	status?: number;
};
