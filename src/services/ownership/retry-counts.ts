import {type RetryCount} from './retry-count.js';

const defaultMaxCounts = 100_000;

/**
The retries drawn for each root id that this node owns, bounded in number.
A count leaves only after the time that callers may repeat its id; when there is no room, nothing is granted.
*/
export class RetryCounts {
	/** The least recently seen first. */
	private readonly counts = new Map<string, RetryCount>();

	constructor(private readonly maxCounts = defaultMaxCounts) {}

	/** Draws one retry of a total. */
	draw(shardKey: string, rootId: string, total: number): boolean {
		const count = this.countOf(shardKey, rootId);
		if (!count || count.drawn >= total) {
			return false;
		}

		count.drawn++;
		return true;
	}

	/** Notes an attempt of the caller's: the first is free, later ones draw a retry. */
	enter(shardKey: string, rootId: string, total: number): boolean {
		const count = this.countOf(shardKey, rootId);
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

	/** The count of a root id, begun if need be; undefined when there is no room. */
	private countOf(shardKey: string, rootId: string): RetryCount | undefined {
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
