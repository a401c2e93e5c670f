import {type UpstreamLoad} from '../admission/upstream-load.js';

/** Load of one upstream as known to this node. */
export type UpstreamRecord = {
	/** Calls from this node to the upstream that have not ended. */
	inFlight: number;
	/** Calls that this node has started since it received the load. */
	callsSinceLoad: number;
	load?: UpstreamLoad;
	/** When the load was received, by the monotonic clock. */
	loadReceivedAtMs: number;
};
