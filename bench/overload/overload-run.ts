import {type ExecutionRecord} from '../../standins/backend-server/execution-record.js';
import {type RequestRecord} from '../../standins/caller/request-record.js';

/** Records of one system under load; times are Unix timestamps in milliseconds. */
export type OverloadRun = {
	readonly usualFromMs: number;
	readonly triggerFromMs: number;
	readonly triggerToMs: number;
	readonly endMs: number;
	readonly requests: readonly RequestRecord[];
	readonly executions: readonly ExecutionRecord[];
	/** Utilisation of the machine's processors during the trigger, between 0 and 1. */
	readonly utilisation: number;
};
