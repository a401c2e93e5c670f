import {PeerMethod} from '../../runtime/peer/peer-method.js';

type DropParams = {
	/** Id of the call to be executed. */
	readonly callId: string;
};

/** Drops a call that still waits to begin at the receiving node, because its caller has disconnected; what has begun goes on. */
export const dropMethod = new PeerMethod<DropParams, Record<string, never>>('drop');
