import {type CallAnswer} from '../calls/call-answer.js';
import {EntryState} from './entry-state.js';
import {type IdempotencyEntry} from './idempotency-entry.js';

type TableBounds = {
	readonly maxEntries: number;
	readonly maxAnswerBytes: number;
};

const defaultBounds: TableBounds = {maxEntries: 100_000, maxAnswerBytes: 16_777_216};

/**
State of the request ids that this node owns, limited in the number of entries and in the bytes of stored answers.
An entry is evicted only when callers may no longer retry its id; a full table therefore has to refuse new ids.
*/
export class IdempotencyTable {
	/** Ordered from the least to the most recently seen. */
	private readonly entries = new Map<string, IdempotencyEntry>();
	private answerBytes = 0;

	constructor(private readonly bounds: TableBounds = defaultBounds) {}

	get size(): number {
		return this.entries.size;
	}

	get(shardKey: string, requestId: string): IdempotencyEntry | undefined {
		return this.entries.get(keyOf(shardKey, requestId));
	}

	/** Adds an entry; false if the table is full. */
	add(entry: IdempotencyEntry): boolean {
		if (this.entries.size >= this.bounds.maxEntries) {
			return false;
		}

		this.entries.set(keyOf(entry.shardKey, entry.requestId), entry);
		this.answerBytes += sizeOf(entry.answer);
		return true;
	}

	/** Marks the id as seen now, which postpones its eviction. */
	touch(entry: IdempotencyEntry): void {
		const key = keyOf(entry.shardKey, entry.requestId);
		entry.lastSeenAtMs = Date.now();
		if (this.entries.delete(key)) {
			this.entries.set(key, entry);
		}
	}

	/** Marks an entry as completed; the answer is stored if there is free capacity. */
	complete(entry: IdempotencyEntry, answer: CallAnswer): void {
		entry.state = EntryState.Completed;
		const isListed = this.get(entry.shardKey, entry.requestId) === entry;
		if (isListed && this.answerBytes + sizeOf(answer) <= this.bounds.maxAnswerBytes) {
			// Copied because the body may be a view of a much larger buffer.
			entry.answer = {...answer, body: Uint8Array.from(answer.body)};
			this.answerBytes += sizeOf(answer);
		}
	}

	delete(entry: IdempotencyEntry): void {
		const key = keyOf(entry.shardKey, entry.requestId);
		if (this.entries.get(key) === entry) {
			this.entries.delete(key);
			this.answerBytes -= sizeOf(entry.answer);
		}
	}

	ofShard(shardKey: string): readonly IdempotencyEntry[] {
		return [...this.entries.values()].filter(entry => entry.shardKey === shardKey);
	}

	deleteShard(shardKey: string): void {
		for (const entry of this.ofShard(shardKey)) {
			this.delete(entry);
		}
	}

	/** Evicts the entries last seen before a time, except those whose execution may still be in progress. */
	evictSeenBefore(seenBeforeMs: number): void {
		for (const entry of this.entries.values()) {
			if (entry.lastSeenAtMs >= seenBeforeMs) {
				return;
			}

			if (!entry.run || (entry.runEndsAtMs ?? Infinity) < seenBeforeMs) {
				this.delete(entry);
			}
		}
	}
}

function keyOf(shardKey: string, requestId: string): string {
	return `${shardKey} ${requestId}`;
}

function sizeOf(answer: CallAnswer | undefined): number {
	return answer ? answer.body.length + JSON.stringify(answer.headers).length : 0;
}
