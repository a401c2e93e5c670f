import {type StoreEntry} from '../../../../runtime/store/store-entry.js';
import {type StoreChange, type SwapResult} from '../../../../runtime/store/store-service.js';

/** In-memory state of the key-value store: behaves like one consistent store, without its delays and faults. */
export class MemoryStore {
	/** Whether the store answers at all. */
	isDown = false;
	private revision = 0;
	private leaseCount = 0;
	private readonly entries = new Map<string, StoreEntry>();
	private readonly leaseEnds = new Map<string, {ttlMs: number; endsAtMs: number}>();
	private readonly listeners = new Set<(change: StoreChange) => void>();

	get(key: string): StoreEntry | undefined {
		this.expire();
		return this.entries.get(key);
	}

	list(prefix: string): readonly StoreEntry[] {
		this.expire();
		return [...this.entries.values()].filter(entry => entry.key.startsWith(prefix));
	}

	get currentRevision(): number {
		return this.revision;
	}

	compareAndSwap(key: string, expectedModRevision: number, value: string, leaseId?: string): SwapResult {
		const current = this.get(key);
		if ((current?.modRevision ?? 0) !== expectedModRevision || (leaseId !== undefined && !this.leaseEnds.has(leaseId))) {
			return {swapped: false, modRevision: current?.modRevision ?? 0, current};
		}

		const entry = {
			key, value, modRevision: ++this.revision, leaseId,
		};
		this.entries.set(key, entry);
		this.notify({key, entry, revision: this.revision});
		return {swapped: true, modRevision: entry.modRevision};
	}

	compareAndDelete(key: string, expectedModRevision: number): boolean {
		const isAsExpected = this.get(key)?.modRevision === expectedModRevision;
		if (isAsExpected) {
			this.delete(key);
		}

		return isAsExpected;
	}

	grantLease(ttlMs: number): string {
		const leaseId = `lease-${++this.leaseCount}`;
		this.leaseEnds.set(leaseId, {ttlMs, endsAtMs: performance.now() + ttlMs});
		return leaseId;
	}

	renewLease(leaseId: string): boolean {
		this.expire();
		const lease = this.leaseEnds.get(leaseId);
		if (lease) {
			lease.endsAtMs = performance.now() + lease.ttlMs;
		}

		return lease !== undefined;
	}

	revokeLease(leaseId: string): void {
		this.leaseEnds.delete(leaseId);
		for (const entry of this.entries.values()) {
			if (entry.leaseId === leaseId) {
				this.delete(entry.key);
			}
		}
	}

	listen(listener: (change: StoreChange) => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	private expire(): void {
		for (const [leaseId, {endsAtMs}] of this.leaseEnds) {
			if (performance.now() >= endsAtMs) {
				this.revokeLease(leaseId);
			}
		}
	}

	private delete(key: string): void {
		this.entries.delete(key);
		this.notify({key, revision: ++this.revision});
	}

	private notify(change: StoreChange): void {
		for (const listener of this.listeners) {
			listener(change);
		}
	}
}
