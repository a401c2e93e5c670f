import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type CallContext} from '../calls/call-context.js';

type GrantParams = {
	readonly context: CallContext;
	/** Whether the caller itself makes the attempt; the first of these is free. */
	readonly isAttempt: boolean;
};

/** Asks the owner of a root id to grant one more attempt. */
export const grantMethod = new PeerMethod<GrantParams, {readonly isGranted: boolean}>('grant');
