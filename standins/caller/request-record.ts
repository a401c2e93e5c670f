import {type RequestOutcome} from './request-outcome.js';

/** One request of the caller stand-in; times are wall-clock milliseconds since the epoch. */
export type RequestRecord = {
	readonly requestId: string;
	readonly operation: string;
	readonly sentAtMs: number;
	endedAtMs: number;
	attempts: number;
	outcome: RequestOutcome;
	/** Status of the last answer. */
	status?: number;
	/** Error kind of the last answer. */
	kind?: string;
};
