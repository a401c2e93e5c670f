import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRun} from './call-run.js';
import {type EntryState} from './entry-state.js';

/** What the owner knows of one request id. */
export type IdempotencyEntry = {
	readonly requestId: string;
	/** Key of the shard that the id belongs to. */
	readonly shardKey: string;
	/** Digest of caller, operation and body: an id belongs to one request. */
	readonly fingerprint: string;
	state: EntryState;
	/** Wall clock of the last refusal, in milliseconds since 1970; kept while a later attempt runs. */
	refusedAtMs?: number;
	/** Answer of a completed call, as long as there is room to keep it. */
	answer?: CallAnswer;
	/** The execution that attempts join, while accepted or dispatched. */
	run?: CallRun;
	/** Id of the last execution, also when a former owner began it. */
	callId?: string;
	/** Wall clock after which an execution that a former owner began is no longer waited for. */
	runEndsAtMs?: number;
	lastSeenAtMs: number;
};
