import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type CallContext} from '../calls/call-context.js';

type GrantParams = {
	readonly context: CallContext;
	/** Whether it is an attempt of the caller's own, of which the first is free. */
	readonly isAttempt: boolean;
};

/** Asks the owner of a root id for one more execution. */
export const grantMethod = new PeerMethod<GrantParams, {readonly isGranted: boolean}>('grant');
