import {type CarriedEntry} from './carried-entry.js';
import {type EntryState} from './entry-state.js';
import {type IdempotencyEntry} from './idempotency-entry.js';

/** State of an entry that is transferred to the successor of its shard. */
export function carryEntry(entry: IdempotencyEntry, state: EntryState): CarriedEntry {
	const {requestId, fingerprint, refusedAtMs, answer, lastSeenAtMs, callId, runEndsAtMs} = entry;
	return {
		requestId, fingerprint, state, refusedAtMs, answer, lastSeenAtMs, callId, runEndsAtMs,
	};
}
