import {type WireError} from '../../base/wire-error.js';
import {type InstanceCondition} from '../backend/instance-condition.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {type CallCounts} from './call-graph-service.js';

/** Reply of an upstream's node: either the complete answer or a failure, never both. */
export type RelayReply = {
	readonly status?: number;
	/** Alternating names and values. */
	readonly headers?: readonly string[];
	readonly failure?: WireError;
	/** Whether the request was sent to the backend server, even if that refused it. */
	readonly offered: boolean;
	readonly load: UpstreamLoad;
	/** Set if the backend server states a limit or that it leaves. */
	readonly condition?: InstanceCondition;
	/** Inner calls that the execution made. */
	readonly calls?: CallCounts;
	readonly body?: Uint8Array;
};
