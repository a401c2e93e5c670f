import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type CallRequest} from '../calls/call-request.js';
import {type OwnReply} from './own-reply.js';

export type OwnParams = {
	readonly request: CallRequest;
	/** Revision of the table by which the sender chose the owner; 0 for reserved ids. */
	readonly modRevision: number;
	/** Sent on by a former owner; it is not sent on again. */
	readonly forwarded?: true;
};

/** Asks the owner of a request id to run the call or to tell what became of it. */
export const ownMethod = new PeerMethod<OwnParams, OwnReply>('own');
