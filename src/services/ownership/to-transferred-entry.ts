import {type TransferredEntry} from './transferred-entry.js';
import {type EntryState} from './entry-state.js';
import {type IdempotencyEntry} from './idempotency-entry.js';

/** State of an entry that is transferred to the successor of its shard. */
export function toTransferredEntry(entry: IdempotencyEntry, state: EntryState): TransferredEntry {
	const {requestId, fingerprint, refusedAtMs, answer, lastSeenAtMs, callId, runEndsAtMs} = entry;
	return {
		requestId, fingerprint, state, refusedAtMs, answer, lastSeenAtMs, callId, runEndsAtMs,
	};
}
