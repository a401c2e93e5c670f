import {type WireError} from '../../base/wire-error.js';
import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type EntryState} from './entry-state.js';

export type ResolveParams = {
	readonly service: string;
	readonly index: number;
	readonly requestId: string;
	/** Id of the execution: the next owner may have begun another of the same request id. */
	readonly callId: string;
	/** How the execution ended: completed, unknown, or refused when it did not start. */
	readonly state: EntryState;
	readonly answer?: CallAnswer;
	/** Why the execution did not start. */
	readonly failure?: WireError;
};

/** Tells the next owner of a shard how an execution ended that the former owner had begun. */
export const resolveMethod = new PeerMethod<ResolveParams, Record<string, never>>('resolve');
