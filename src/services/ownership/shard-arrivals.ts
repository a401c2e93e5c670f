import {type CarriedEntry} from './carried-entry.js';
import {EntryState} from './entry-state.js';
import {type ResolveParams} from './resolve-method.js';
import {type RetryCount} from './retry-count.js';
import {type TakeShardParams} from './take-shard-method.js';

type Arrival = {
	entries: CarriedEntry[];
	readonly counts: RetryCount[];
	readonly lastAtMs: number;
};

/** State whose hand-over the shard table does not name within this time is discarded. */
const keptMs = 600_000;
const maxArrivals = 1024;

/** State that previous owners have transferred of shards that the table does not assign to this node yet. */
export class ShardArrivals {
	private readonly arrivals = new Map<string, Arrival>();

	get isEmpty(): boolean {
		return this.arrivals.size === 0;
	}

	/** Stores a part of a shard's state; false if there is no free capacity. */
	add({handOverId, service, index, entries, counts}: TakeShardParams): boolean {
		this.forgetOld();
		const key = arrivalKey(handOverId, service, index);
		const known = this.arrivals.get(key);
		if (!known && this.arrivals.size >= maxArrivals) {
			return false;
		}

		this.arrivals.set(key, {
			entries: [...known?.entries ?? [], ...entries],
			counts: [...known?.counts ?? [], ...counts],
			lastAtMs: Date.now(),
		});
		return true;
	}

	/** Removes and returns the state that a hand-over transferred. */
	take(handOverId: string, service: string, index: number): Arrival | undefined {
		const key = arrivalKey(handOverId, service, index);
		const arrival = this.arrivals.get(key);
		this.arrivals.delete(key);
		return arrival;
	}

	/** Records how an execution ended whose shard is still being handed over. */
	resolve({service, index, requestId, callId, state, answer}: ResolveParams): void {
		const end = arrivalKey('', service, index);
		for (const [key, arrival] of this.arrivals) {
			if (key.endsWith(end)) {
				arrival.entries = arrival.entries.map(entry => entry.requestId === requestId && entry.callId === callId
					? {
						...entry, state, answer, runEndsAtMs: undefined, refusedAtMs: state === EntryState.Refused ? Date.now() : entry.refusedAtMs,
					}
					: entry);
			}
		}
	}

	private forgetOld(): void {
		for (const [key, {lastAtMs}] of this.arrivals) {
			if (lastAtMs < Date.now() - keptMs) {
				this.arrivals.delete(key);
			}
		}
	}
}

function arrivalKey(handOverId: string, service: string, index: number): string {
	return `${handOverId} ${service}/${index}`;
}
