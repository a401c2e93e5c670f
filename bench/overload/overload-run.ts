import {type ExecutionRecord} from '../../standins/backend-server/execution-record.js';
import {type RequestRecord} from '../../standins/caller/request-record.js';

/** What was recorded while one system carried the load; times are wall clock in milliseconds since 1970. */
export type OverloadRun = {
	readonly usualFromMs: number;
	readonly triggerFromMs: number;
	readonly triggerToMs: number;
	readonly endMs: number;
	readonly requests: readonly RequestRecord[];
	readonly executions: readonly ExecutionRecord[];
	/** Share of the machine's processor time used during the trigger. */
	readonly busyShare: number;
};
