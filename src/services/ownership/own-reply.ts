import {type WireError} from '../../base/wire-error.js';
import {type CallAnswer} from '../calls/call-answer.js';

/** What became of a call at its owner: exactly one of the fields is set. */
export type OwnReply = {
	readonly answer?: CallAnswer;
	readonly failure?: WireError;
	/** The node does not own the id and has started nothing for this attempt. */
	readonly notOwner?: true;
};
