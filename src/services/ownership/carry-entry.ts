import {type CarriedEntry} from './carried-entry.js';
import {type EntryState} from './entry-state.js';
import {type IdempotencyEntry} from './idempotency-entry.js';

/** What is told of an entry to the next owner of its shard. */
export function carryEntry(entry: IdempotencyEntry, state: EntryState): CarriedEntry {
	const {requestId, fingerprint, refusedAtMs, answer, lastSeenAtMs, callId, runEndsAtMs} = entry;
	return {
		requestId, fingerprint, state, refusedAtMs, answer, lastSeenAtMs, callId, runEndsAtMs,
	};
}
