import {type RetryCount} from './retry-count.js';

const defaultMaxCounts = 100_000;

/**
Counts the retries drawn for each root id that this node owns; the number of counts is limited.
A count is evicted only when callers may no longer retry its id; without free capacity for a new one, no retry is granted.
*/
export class RetryCounts {
	/** Ordered from the least to the most recently seen. */
	private readonly counts = new Map<string, RetryCount>();

	constructor(private readonly maxCounts = defaultMaxCounts) {}

	/** Draws one retry from a retry total; false if none is left or there is no free capacity for the count. */
	draw(shardKey: string, rootId: string, total: number): boolean {
		const count = this.getOrCreate(shardKey, rootId);
		if (!count || count.drawn >= total) {
			return false;
		}

		count.drawn++;
		return true;
	}

	/** Records an attempt that the caller itself makes: the first is free, later ones draw a retry. */
	admitAttempt(shardKey: string, rootId: string, total: number): boolean {
		const count = this.getOrCreate(shardKey, rootId);
		if (!count) {
			return false;
		}

		const isFirst = !count.hasEntered;
		count.hasEntered = true;
		return isFirst || this.draw(shardKey, rootId, total);
	}

	add(count: RetryCount): boolean {
		if (this.counts.size >= this.maxCounts) {
			return false;
		}

		this.counts.set(keyOf(count), count);
		return true;
	}

	ofShard(shardKey: string): readonly RetryCount[] {
		return [...this.counts.values()].filter(count => count.shardKey === shardKey);
	}

	deleteShard(shardKey: string): void {
		for (const count of this.ofShard(shardKey)) {
			this.counts.delete(keyOf(count));
		}
	}

	evictSeenBefore(seenBeforeMs: number): void {
		for (const [key, count] of this.counts) {
			if (count.lastSeenAtMs >= seenBeforeMs) {
				return;
			}

			this.counts.delete(key);
		}
	}

	/** The count of a root id, created if there is none; undefined if there is no free capacity. */
	private getOrCreate(shardKey: string, rootId: string): RetryCount | undefined {
		const key = keyOf({shardKey, rootId});
		const known = this.counts.get(key);
		const count = known ?? {
			rootId, shardKey, hasEntered: false, drawn: 0, lastSeenAtMs: 0,
		};
		this.counts.delete(key);
		count.lastSeenAtMs = Date.now();
		return this.add(count) ? count : undefined;
	}
}

function keyOf({shardKey, rootId}: {shardKey: string; rootId: string}): string {
	return `${shardKey} ${rootId}`;
}
