import {type Disposable} from '../../../base/disposable.js';
import {Emitter} from '../../../base/emitter.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {type Event} from '../../../base/event.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {type StoreEntry} from '../../../runtime/store/store-entry.js';
import {
	type StoreChange, type StoreListing, type StoreService, type SwapResult,
} from '../../../runtime/store/store-service.js';

/** In-memory store without leases; calls settle without I/O, and tests can simulate an outage and lost results. */
export class MemoryStore implements StoreService {
	reachable = true;
	readonly onDidChangeReachability: Event<boolean> = new Emitter<boolean>().event;
	isUnreachable = false;
	/** How many of the next swaps take effect but fail to return their result. */
	resultsToLose = 0;
	/** Called before each swap compares revisions, so that a test can change the store at that point. */
	beforeSwap: (() => void) | undefined;
	/** Awaited between each read and the return of its result. */
	beforeResult: (() => Promise<void>) | undefined;
	readonly calls: string[] = [];
	private readonly entries = new Map<string, StoreEntry>();
	private readonly changes = new Emitter<StoreChange>();
	private revision = 0;

	async get(key: string): Promise<StoreEntry | undefined> {
		return this.getNewer(key, 0);
	}

	async getNewer(key: string, knownModRevision: number): Promise<StoreEntry | undefined> {
		this.checkCall('read');
		const entry = this.entries.get(key);
		await this.beforeResult?.();
		return entry && entry.modRevision > knownModRevision ? entry : undefined;
	}

	async list(): Promise<StoreListing> {
		this.checkCall('list');
		return {entries: [...this.entries.values()], revision: this.revision};
	}

	async compareAndSwap(key: string, expectedModRevision: number, value: string): Promise<SwapResult> {
		this.checkCall('swap');
		this.beforeSwap?.();
		const current = this.entries.get(key);
		if ((current?.modRevision ?? 0) !== expectedModRevision) {
			return {swapped: false, modRevision: current?.modRevision ?? 0, current};
		}

		const entry = this.put(key, value);
		if (this.resultsToLose > 0) {
			this.resultsToLose--;
			throw this.failure();
		}

		return {swapped: true, modRevision: entry.modRevision};
	}

	/** Writes unconditionally; for tests only. */
	put(key: string, value: string): StoreEntry {
		this.revision++;
		const entry = {key, value, modRevision: this.revision};
		this.entries.set(key, entry);
		this.changes.fire({key, entry, revision: this.revision});
		return entry;
	}

	async compareAndDelete(key: string): Promise<boolean> {
		return this.entries.delete(key);
	}

	async grantLease(): Promise<string> {
		throw this.failure();
	}

	async renewLease(): Promise<boolean> {
		throw this.failure();
	}

	async revokeLease(): Promise<void> {
		throw this.failure();
	}

	watch(prefix: string, listener: (change: StoreChange) => void): Disposable {
		this.calls.push('watch');
		for (const entry of this.isUnreachable ? [] : this.entries.values()) {
			listener({key: entry.key, entry, revision: entry.modRevision});
		}

		return this.changes.event(change => {
			if (!this.isUnreachable && change.key.startsWith(prefix)) {
				listener(change);
			}
		});
	}

	private checkCall(kind: string): void {
		this.calls.push(kind);
		if (this.isUnreachable) {
			throw this.failure();
		}
	}

	private failure(): KumquatlineError {
		return new KumquatlineError(ErrorKind.StoreUnavailable, 'the store did not answer');
	}
}
