import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type CallRequest} from '../calls/call-request.js';
import {type OwnerReply} from './owner-reply.js';

export type OwnParams = {
	readonly request: CallRequest;
	/** Revision of the shard table in which the sender found the owner; 0 for reserved ids. */
	readonly modRevision: number;
	/** Set on a call that a previous owner forwarded; it is not forwarded again. */
	readonly forwarded?: true;
};

/** Asks the owner of a request id to execute the call or to reply with the outcome of an earlier execution. */
export const ownMethod = new PeerMethod<OwnParams, OwnerReply>('own');
