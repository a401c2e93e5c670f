import {type WireError} from '../../base/wire-error.js';
import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type EntryState} from './entry-state.js';

export type ResolveParams = {
	readonly service: string;
	readonly index: number;
	readonly requestId: string;
	/** Id of the execution: the successor may have started another one for the same request id. */
	readonly callId: string;
	/** How the execution ended: completed, unknown, or refused if it did not start. */
	readonly state: EntryState;
	readonly answer?: CallAnswer;
	/** Why the execution did not start. */
	readonly failure?: WireError;
};

/** Sends the outcome of an execution that the previous owner of a shard started to the successor. */
export const resolveMethod = new PeerMethod<ResolveParams, Record<string, never>>('resolve');
