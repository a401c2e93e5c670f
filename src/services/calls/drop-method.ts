import {PeerMethod} from '../../runtime/peer/peer-method.js';

type DropParams = {
	/** Id of the call to be executed. */
	readonly callId: string;
};

/** Drops a call that the receiving node has not started yet, because its caller has disconnected; a call that has started continues. */
export const dropMethod = new PeerMethod<DropParams, Record<string, never>>('drop');
