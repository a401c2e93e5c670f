import {type CallAnswer} from '../calls/call-answer.js';
import {type PendingExecution} from './pending-execution.js';
import {type EntryState} from './entry-state.js';

/** State of one request id at its owner. */
export type IdempotencyEntry = {
	readonly requestId: string;
	/** Key of the shard that the id belongs to. */
	readonly shardKey: string;
	/** Digest of caller, operation, method, target and body: an id belongs to one request. */
	readonly fingerprint: string;
	state: EntryState;
	/** Wall-clock time of the last refusal, in milliseconds since 1970; kept while a later attempt is executed. */
	refusedAtMs?: number;
	/** Answer of a completed call, if there was free capacity to store it. */
	answer?: CallAnswer;
	/** The execution that further attempts join, while the state is accepted or dispatched. */
	run?: PendingExecution;
	/** Id of the last execution, also if a previous owner started it. */
	callId?: string;
	/** Wall-clock time after which the execution is no longer waited for, also if a previous owner started it. */
	runEndsAtMs?: number;
	lastSeenAtMs: number;
};
