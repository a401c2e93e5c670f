import {type TransferredEntry} from './transferred-entry.js';
import {EntryState} from './entry-state.js';
import {type ResolveParams} from './resolve-method.js';
import {type RetryCount} from './retry-count.js';
import {type TakeShardParams} from './take-shard-method.js';

type IncomingTransfer = {
	entries: TransferredEntry[];
	readonly counts: RetryCount[];
	readonly lastAtMs: number;
};

/** State whose hand-over the shard table does not name within this time is discarded. */
const retentionMs = 600_000;
const maxTransfers = 1024;

/** State that previous owners have transferred of shards that the table does not assign to this node yet. */
export class IncomingTransfers {
	private readonly transfers = new Map<string, IncomingTransfer>();

	get isEmpty(): boolean {
		return this.transfers.size === 0;
	}

	/** Stores a part of a shard's state; false if there is no free capacity. */
	add({handOverId, service, index, entries, counts}: TakeShardParams): boolean {
		this.discardExpired();
		const key = transferKey(handOverId, service, index);
		const known = this.transfers.get(key);
		if (!known && this.transfers.size >= maxTransfers) {
			return false;
		}

		this.transfers.set(key, {
			entries: [...known?.entries ?? [], ...entries],
			counts: [...known?.counts ?? [], ...counts],
			lastAtMs: Date.now(),
		});
		return true;
	}

	/** Removes and returns the state that a hand-over transferred. */
	take(handOverId: string, service: string, index: number): IncomingTransfer | undefined {
		const key = transferKey(handOverId, service, index);
		const transfer = this.transfers.get(key);
		this.transfers.delete(key);
		return transfer;
	}

	/** Records how an execution ended whose shard is still being handed over. */
	resolve({service, index, requestId, callId, state, answer}: ResolveParams): void {
		const suffix = transferKey('', service, index);
		for (const [key, transfer] of this.transfers) {
			if (key.endsWith(suffix)) {
				transfer.entries = transfer.entries.map(entry => entry.requestId === requestId && entry.callId === callId
					? {
						...entry, state, answer, runEndsAtMs: undefined, refusedAtMs: state === EntryState.Refused ? Date.now() : entry.refusedAtMs,
					}
					: entry);
			}
		}
	}

	private discardExpired(): void {
		for (const [key, {lastAtMs}] of this.transfers) {
			if (lastAtMs < Date.now() - retentionMs) {
				this.transfers.delete(key);
			}
		}
	}
}

function transferKey(handOverId: string, service: string, index: number): string {
	return `${handOverId} ${service}/${index}`;
}
