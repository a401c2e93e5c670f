import {type HeardThreshold} from './heard-threshold.js';

/** Load of an upstream as its node reports it on every reply. */
export type UpstreamLoad = {
	/** Calls running at the backend server. */
	readonly inFlight: number;
	readonly limit: number;
	readonly queued: number;
	readonly queueWaitMs: number;
	/** Least importance rank that is admitted, with the share of the root ids of that very rank that are refused as fraction. */
	readonly threshold: number;
	/** Thresholds of the services deeper down, as the node heard them. */
	readonly heard?: readonly HeardThreshold[];
};
