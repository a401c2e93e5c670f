import {type CallAnswer} from '../calls/call-answer.js';
import {EntryState} from './entry-state.js';
import {type IdempotencyEntry} from './idempotency-entry.js';

type TableBounds = {
	readonly maxEntries: number;
	readonly maxAnswerBytes: number;
};

const defaultBounds: TableBounds = {maxEntries: 100_000, maxAnswerBytes: 16_777_216};

/**
What this node knows of the request ids that it owns, bounded in entries and in bytes of kept answers.
An entry leaves only after the time that callers may repeat its id; when there is no room, new ids have to be refused.
*/
export class IdempotencyTable {
	/** The least recently seen first. */
	private readonly entries = new Map<string, IdempotencyEntry>();
	private answerBytes = 0;

	constructor(private readonly bounds: TableBounds = defaultBounds) {}

	get size(): number {
		return this.entries.size;
	}

	get(shardKey: string, requestId: string): IdempotencyEntry | undefined {
		return this.entries.get(keyOf(shardKey, requestId));
	}

	/** Adds an entry; false when the table is full. */
	add(entry: IdempotencyEntry): boolean {
		if (this.entries.size >= this.bounds.maxEntries) {
			return false;
		}

		this.entries.set(keyOf(entry.shardKey, entry.requestId), entry);
		this.answerBytes += sizeOf(entry.answer);
		return true;
	}

	/** Notes that the id was asked for, which keeps it longer. */
	touch(entry: IdempotencyEntry): void {
		const key = keyOf(entry.shardKey, entry.requestId);
		entry.lastSeenAtMs = Date.now();
		if (this.entries.delete(key)) {
			this.entries.set(key, entry);
		}
	}

	/** Ends an entry's execution; the answer is kept if there is room. */
	complete(entry: IdempotencyEntry, answer: CallAnswer): void {
		entry.state = EntryState.Completed;
		const isListed = this.get(entry.shardKey, entry.requestId) === entry;
		if (isListed && this.answerBytes + sizeOf(answer) <= this.bounds.maxAnswerBytes) {
			// A copy: the body may be a part of a much longer buffer.
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

	/** Entries of a shard. */
	ofShard(shardKey: string): readonly IdempotencyEntry[] {
		return [...this.entries.values()].filter(entry => entry.shardKey === shardKey);
	}

	deleteShard(shardKey: string): void {
		for (const entry of this.ofShard(shardKey)) {
			this.delete(entry);
		}
	}

	/** Drops entries that were last seen before, but for those that run. */
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
