import {Buffer} from 'node:buffer';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type z} from 'zod';
import {type Disposable} from '../../base/disposable.js';
import {ignoreRejection} from '../../base/ignore-rejection.js';
import {sleep} from '../../base/sleep.js';
import {Backoff} from './backoff.js';
import {type EtcdConnection} from './etcd-connection.js';
import {etcdMessages} from './etcd-messages.js';
import {EtcdWatchStream} from './etcd-watch-stream.js';
import {prefixEnd} from './prefix-end.js';
import {type StoreChange} from './store-service.js';
import {toStoreEntry} from './to-store-entry.js';

const firstBackoffMs = 100;
const backoffLimitMs = 2000;
/** Checks are spread over this share of their interval. */
const checkSpread = 0.2;

type WatchOptions = {
	readonly prefix: string;
	readonly checkIntervalMs: number;
	/** How long the store may take to confirm that a watch is open. */
	readonly openTimeoutMs: number;
};

type RangeAnswer = z.infer<typeof etcdMessages.range>;
type WatchEvents = z.infer<typeof etcdMessages.watch>['result']['events'];

/**
Follows a prefix by a watch and, beside it, by readings that ask only for what has changed since the last known revision.

A reading that finds news shows the watch to be silent if the watch has still delivered nothing by the next reading.
*/
export class EtcdWatch implements Disposable {
	private readonly controller = new AbortController();
	private readonly backoff: Backoff;
	private readonly modRevisions = new Map<string, number>();
	/** All changes up to this revision have been reported. */
	private revision = 0;

	constructor(
		private readonly connection: EtcdConnection,
		private readonly random: RandomGenerator,
		private readonly options: WatchOptions,
		private readonly listener: (change: StoreChange) => void,
	) {
		this.backoff = new Backoff(random, firstBackoffMs, backoffLimitMs);
		void this.run();
	}

	private get signal(): AbortSignal {
		return this.controller.signal;
	}

	dispose(): void {
		this.controller.abort();
	}

	private async run(): Promise<void> {
		while (!this.signal.aborted) {
			try {
				await this.refresh();
				await this.follow();
			} catch {
				// The connection tells of failures; the next reading catches up.
			}

			await ignoreRejection(this.backoff.wait(this.signal));
		}
	}

	/** Opens a watch and returns when it turns out to be silent; throws when it breaks or the store is away. */
	private async follow(): Promise<void> {
		const stream = new EtcdWatchStream(this.connection.url, this.range(), this.revision + 1);
		stream.onDidReceive(events => {
			this.applyEvents(events);
		});
		try {
			await stream.open(this.options.openTimeoutMs);
			this.backoff.reset();
			await this.checkUntilSilent(stream);
		} finally {
			stream.dispose();
		}
	}

	private async checkUntilSilent(stream: EtcdWatchStream): Promise<void> {
		let missedAfter: number | undefined;
		for (;;) {
			await Promise.race([stream.closed, this.waitForCheck()]);
			if (stream.receivedCount === missedAfter) {
				return;
			}

			const foundNews = await this.refresh();
			missedAfter = foundNews ? stream.receivedCount : undefined;
		}
	}

	private async waitForCheck(): Promise<void> {
		const spread = checkSpread * (uniformFloat64(this.random) - 0.5);
		await sleep(this.options.checkIntervalMs * (1 + spread), this.signal);
	}

	private range(): {key: string; range_end: string} {
		const {prefix} = this.options;
		return {key: Buffer.from(prefix).toString('base64'), range_end: prefixEnd(prefix)};
	}

	/** Reads what has changed since the known revision; true when that was anything. */
	private async refresh(): Promise<boolean> {
		const answer = await this.read(this.revision + 1);
		const revision = Number(answer.header.revision);
		if (revision < this.revision) {
			return this.refreshWhole();
		}

		const foundNews = this.applyEntries(answer.kvs);
		const isComplete = Number(answer.count) === this.modRevisions.size;
		this.revision = Math.max(this.revision, revision);
		return isComplete ? foundNews : this.refreshWhole();
	}

	/** Reads everything: keys have been deleted, or the store has lost revisions. */
	private async refreshWhole(): Promise<boolean> {
		const answer = await this.read(0);
		const revision = Number(answer.header.revision);
		const present = new Set(answer.kvs.map(keyValue => toStoreEntry(keyValue).key));
		for (const key of this.modRevisions.keys()) {
			if (!present.has(key)) {
				this.modRevisions.delete(key);
				this.listener({key, revision});
			}
		}

		this.applyEntries(answer.kvs);
		this.revision = revision;
		return true;
	}

	private async read(minModRevision: number): Promise<RangeAnswer> {
		const request = {...this.range(), min_mod_revision: String(minModRevision)};
		const options = {repeatable: true, signal: this.signal};
		const answer = await this.connection.call('/v3/kv/range', request, etcdMessages.range, options);
		return etcdMessages.range.parse(answer);
	}

	private applyEntries(keyValues: RangeAnswer['kvs']): boolean {
		let foundNews = false;
		for (const keyValue of keyValues) {
			const entry = toStoreEntry(keyValue);
			if (this.modRevisions.get(entry.key) !== entry.modRevision) {
				foundNews = true;
				this.modRevisions.set(entry.key, entry.modRevision);
				this.listener({key: entry.key, entry, revision: entry.modRevision});
			}
		}

		return foundNews;
	}

	/** Events of one revision come in one message. */
	private applyEvents(events: WatchEvents): void {
		const knownRevision = this.revision;
		for (const {type, kv} of events) {
			const entry = toStoreEntry(kv);
			const {key, modRevision} = entry;
			if (modRevision <= knownRevision) {
				continue;
			}

			this.revision = Math.max(this.revision, modRevision);
			if (type === 'DELETE') {
				this.modRevisions.delete(key);
				this.listener({key, revision: modRevision});
			} else {
				this.modRevisions.set(key, modRevision);
				this.listener({key, entry, revision: modRevision});
			}
		}
	}
}
