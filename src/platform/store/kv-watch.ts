import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type z} from 'zod';
import {type Disposable} from '../../base/disposable.js';
import {ignoreRejection} from '../../base/ignore-rejection.js';
import {sleep} from '../../base/sleep.js';
import {Backoff} from '../../runtime/store/backoff.js';
import {type StoreEntry} from '../../runtime/store/store-entry.js';
import {type StoreChange, type StoreListing} from '../../runtime/store/store-service.js';
import {type WatchOptions} from '../../runtime/store/watch-options.js';
import {type kvMessages} from './kv-messages.js';
import {toStoreEntry} from './to-store-entry.js';

/** Backoff while the store is unreachable: short enough that the watch continues within a second after the store is back. */
const initialBackoffMs = 100;
const backoffLimitMs = 1000;

type WatchAnswer = z.infer<typeof kvMessages.watch>;

type WatchSource = {
	readonly list: (signal: AbortSignal) => Promise<StoreListing>;
	/** Waits for changes after a revision; undefined if the store has discarded that part of its history. */
	readonly poll: (after: number, signal: AbortSignal) => Promise<WatchAnswer | undefined>;
};

/** Watches a prefix: lists it, then polls for changes after the known revision, and lists it again after a failed poll or if the store has discarded that history. */
export class KvWatch implements Disposable {
	private readonly controller = new AbortController();
	private readonly backoff: Backoff;
	private readonly modRevisions = new Map<string, number>();
	/** All changes up to this revision have been reported; undefined until the first listing, and while a new one is needed. */
	private revision: number | undefined;

	constructor(
		private readonly source: WatchSource,
		random: RandomGenerator,
		private readonly listener: (change: StoreChange) => void,
		private readonly options: Pick<WatchOptions, 'collectMs' | 'known'> = {},
	) {
		this.backoff = new Backoff(random, initialBackoffMs, backoffLimitMs);
		if (options.known) {
			this.applyListing(options.known);
		}

		void this.run();
	}

	dispose(): void {
		this.controller.abort();
	}

	private async run(): Promise<void> {
		const {signal} = this.controller;
		while (!signal.aborted) {
			try {
				await this.advance(signal);
				this.backoff.reset();
			} catch {
				// A watch may have missed changes before it was cut, and a poll for a discarded revision can wait like any other.
				this.revision = undefined;
				await ignoreRejection(this.backoff.wait(signal));
			}
		}
	}

	private async advance(signal: AbortSignal): Promise<void> {
		if (this.revision === undefined) {
			this.applyListing(await this.source.list(signal));
			return;
		}

		const answer = await this.source.poll(this.revision, signal);
		if (!answer || answer.at < this.revision) {
			this.revision = undefined;
			return;
		}

		for (const event of answer.events) {
			if ('deleted' in event) {
				this.applyDeletion(event.key, event.rev);
			} else {
				this.applyEntry(toStoreEntry(event));
			}
		}

		this.revision = answer.at;
		if (answer.events.length > 0 && this.options.collectMs) {
			await sleep(this.options.collectMs, signal);
		}
	}

	private applyListing({entries, revision}: StoreListing): void {
		const present = new Set(entries.map(({key}) => key));
		for (const key of this.modRevisions.keys()) {
			if (!present.has(key)) {
				this.applyDeletion(key, revision);
			}
		}

		for (const entry of entries) {
			this.applyEntry(entry);
		}

		this.revision = revision;
	}

	private applyDeletion(key: string, revision: number): void {
		if (!this.controller.signal.aborted && this.modRevisions.delete(key)) {
			this.listener({key, revision});
		}
	}

	private applyEntry(entry: StoreEntry): void {
		if (!this.controller.signal.aborted && this.modRevisions.get(entry.key) !== entry.modRevision) {
			this.modRevisions.set(entry.key, entry.modRevision);
			this.listener({key: entry.key, entry, revision: entry.modRevision});
		}
	}
}
