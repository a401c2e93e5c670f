import {type CallAnswer} from '../calls/call-answer.js';
import {type EntryState} from './entry-state.js';

/** What is told of a request id to the next owner of its shard. */
export type CarriedEntry = {
	readonly requestId: string;
	readonly fingerprint: string;
	readonly state: EntryState;
	readonly refusedAtMs?: number;
	readonly answer?: CallAnswer;
	readonly lastSeenAtMs: number;
	/** Id of the execution that the former owner began. */
	readonly callId?: string;
	/** Wall clock after which an execution that the former owner began is no longer waited for. */
	readonly runEndsAtMs?: number;
};
