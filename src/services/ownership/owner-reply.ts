import {type WireError} from '../../base/wire-error.js';
import {type CallAnswer} from '../calls/call-answer.js';

/** An owner's reply to an attempt: exactly one of the fields is set. */
export type OwnerReply = {
	readonly answer?: CallAnswer;
	readonly failure?: WireError;
	/** The node does not own the id and has started no execution for this attempt. */
	readonly notOwner?: true;
};
