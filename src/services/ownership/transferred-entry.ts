import {type CallAnswer} from '../calls/call-answer.js';
import {type EntryState} from './entry-state.js';

/** State of a request id that is transferred to the successor in a hand-over. */
export type TransferredEntry = {
	readonly requestId: string;
	readonly fingerprint: string;
	readonly state: EntryState;
	readonly refusedAtMs?: number;
	readonly answer?: CallAnswer;
	readonly lastSeenAtMs: number;
	/** Id of the execution that the previous owner started. */
	readonly callId?: string;
	/** Wall-clock time after which an execution that the previous owner started is no longer waited for. */
	readonly runEndsAtMs?: number;
};
