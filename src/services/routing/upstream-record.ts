import {type UpstreamLoad} from '../admission/upstream-load.js';

/** What this node knows of one upstream's load. */
export type UpstreamRecord = {
	/** Calls of this node that have not ended. */
	inFlight: number;
	/** Calls that this node began since the load was heard. */
	begunSinceHeard: number;
	load?: UpstreamLoad;
	/** Monotonic clock. */
	heardAtMs: number;
};
