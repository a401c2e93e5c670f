import {Emitter} from '../../../base/emitter.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {toDisposable} from '../../../base/to-disposable.js';
import {type StoreEntry} from '../../../runtime/store/store-entry.js';
import {type StoreChange, type StoreService} from '../../../runtime/store/store-service.js';

type Lease = {ttlMs: number; expiresAtMs: number};

/** In-memory store for tests that uses the fake clock and counts its calls; it can be made unreachable or slow. */
export class MemoryStore implements StoreService {
	readonly entries = new Map<string, StoreEntry>();
	readonly calls = new Map<string, number>();
	/** Time until a call takes effect (`requestDelayMs`), and from then until its result arrives (`resultDelayMs`). */
	requestDelayMs = 0;
	resultDelayMs = 0;
	isUnreachable = false;
	readonly onDidChangeReachability;
	private readonly reachEmitter = new Emitter<boolean>();
	private readonly leases = new Map<string, Lease>();
	private readonly watchers = new Map<string, Set<(change: StoreChange) => void>>();
	private revision = 0;

	constructor() {
		this.onDidChangeReachability = this.reachEmitter.event;
	}

	get reachable(): boolean {
		return !this.isUnreachable;
	}

	setUnreachable(isUnreachable: boolean): void {
		this.isUnreachable = isUnreachable;
		this.reachEmitter.fire(!isUnreachable);
	}

	/** Number of open watches of a prefix. */
	watchCount(prefix: string): number {
		return this.watchers.get(prefix)?.size ?? 0;
	}

	isLeaseAlive(leaseId: string): boolean {
		return (this.leases.get(leaseId)?.expiresAtMs ?? 0) > performance.now();
	}

	async get(key: string): Promise<StoreEntry | undefined> {
		return this.call('get', () => this.entries.get(key));
	}

	async getNewer(key: string, afterRevision: number): Promise<StoreEntry | undefined> {
		const entry = await this.get(key);
		return entry && entry.modRevision > afterRevision ? entry : undefined;
	}

	async list(prefix: string) {
		return this.call('list', () => ({
			entries: [...this.entries.values()].filter(entry => entry.key.startsWith(prefix)),
			revision: this.revision,
		}));
	}

	async compareAndSwap(key: string, expectedModRevision: number, value: string, leaseId?: string) {
		return this.call('compareAndSwap', () => {
			const current = this.entries.get(key);
			if ((current?.modRevision ?? 0) !== expectedModRevision || (leaseId !== undefined && !this.isLeaseAlive(leaseId))) {
				return {swapped: false, modRevision: current?.modRevision ?? 0, current};
			}

			this.revision++;
			this.put({
				key, value, modRevision: this.revision, leaseId,
			});
			return {swapped: true, modRevision: this.revision};
		});
	}

	async compareAndDelete(key: string, expectedModRevision: number): Promise<boolean> {
		return this.call('compareAndDelete', () => {
			const matches = this.entries.get(key)?.modRevision === expectedModRevision;
			if (matches) {
				this.remove(key);
			}

			return matches;
		});
	}

	async grantLease(ttlMs: number): Promise<string> {
		return this.call('grantLease', () => {
			const leaseId = `lease-${this.leases.size + 1}`;
			this.leases.set(leaseId, {ttlMs, expiresAtMs: performance.now() + ttlMs});
			return leaseId;
		});
	}

	async renewLease(leaseId: string): Promise<boolean> {
		return this.call('renewLease', () => {
			const lease = this.leases.get(leaseId);
			if (!lease || !this.isLeaseAlive(leaseId)) {
				return false;
			}

			lease.expiresAtMs = performance.now() + lease.ttlMs;
			return true;
		});
	}

	async revokeLease(leaseId: string): Promise<void> {
		await this.call('revokeLease', () => {
			this.leases.delete(leaseId);
		});
	}

	watch(prefix: string, listener: (change: StoreChange) => void) {
		this.countCall('watch');
		const listeners = this.watchers.get(prefix) ?? new Set();
		this.watchers.set(prefix, listeners.add(listener));
		for (const entry of this.entries.values()) {
			listener({key: entry.key, entry, revision: entry.modRevision});
		}

		return toDisposable(() => {
			listeners.delete(listener);
		});
	}

	private async call<T>(name: string, effect: () => T): Promise<T> {
		this.countCall(name);
		const {resultDelayMs, requestDelayMs} = this;
		await delay(requestDelayMs);
		if (this.isUnreachable) {
			throw new KumquatlineError(ErrorKind.StoreUnavailable, `${name} failed because the store is unreachable`);
		}

		this.expire();
		const result = effect();
		this.expire();
		await delay(resultDelayMs);
		return result;
	}

	private countCall(name: string): void {
		this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
	}

	private expire(): void {
		for (const entry of this.entries.values()) {
			if (entry.leaseId !== undefined && !this.isLeaseAlive(entry.leaseId)) {
				this.remove(entry.key);
			}
		}
	}

	private put(entry: StoreEntry): void {
		this.entries.set(entry.key, entry);
		this.notifyWatchers({key: entry.key, entry, revision: entry.modRevision});
	}

	private remove(key: string): void {
		this.entries.delete(key);
		this.revision++;
		this.notifyWatchers({key, revision: this.revision});
	}

	private notifyWatchers(change: StoreChange): void {
		for (const [prefix, listeners] of this.watchers) {
			for (const listener of change.key.startsWith(prefix) ? listeners : []) {
				listener(change);
			}
		}
	}
}

async function delay(durationMs: number): Promise<void> {
	if (durationMs > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, durationMs);
		});
	}
}
