import {type WireError} from '../../base/wire-error.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {type CallCounts} from './call-graph-service.js';

/** Reply of the node beside an upstream: the whole answer or a failure, never both. */
export type RelayReply = {
	readonly status?: number;
	/** Names and values in turn. */
	readonly headers?: readonly string[];
	readonly failure?: WireError;
	/** Whether the upstream was sent the request, even if it refused it. */
	readonly offered: boolean;
	readonly load: UpstreamLoad;
	/** Calls that the execution has made. */
	readonly calls?: CallCounts;
	/** Body of the answer. */
	readonly body?: Uint8Array;
};
