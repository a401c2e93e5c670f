import {type ForwardedRefusalRate} from './forwarded-refusal-rate.js';
import {type ForwardedThreshold} from './forwarded-threshold.js';

/** Load of an upstream, reported by its node in every reply. */
export type UpstreamLoad = {
	/** Number of calls that the backend server is executing. */
	readonly inFlight: number;
	readonly limit: number;
	readonly queued: number;
	readonly queueWaitMs: number;
	/**
	Lowest importance rank that is admitted; the fractional part is the fraction of root ids that is refused at this rank. In replies to
	relayed requests it is 1 minus the admitted share instead.
	*/
	readonly threshold: number;
	/** Thresholds of services further down the call graph, as last reported to the node. */
	readonly heard?: readonly ForwardedThreshold[];
	/** Refusal rates of services further down the call graph, as last reported to the node. */
	readonly refusals?: readonly ForwardedRefusalRate[];
};
