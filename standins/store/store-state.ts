import {Emitter} from '../../src/base/emitter.js';
import {type Disposable} from '../../src/base/disposable.js';
import {type Event} from '../../src/base/event.js';

/** A key with its value in the store; revisions count the store's changes. */
export type StoredKey = {
	readonly key: string;
	readonly value: string;
	readonly createRevision: number;
	readonly modRevision: number;
	readonly version: number;
	readonly leaseId?: string;
};

type KeyChange = {
	readonly key: string;
	/** Undefined if the key was deleted. */
	readonly entry?: StoredKey;
	readonly revision: number;
};

type Lease = {
	readonly ttlMs: number;
	readonly keys: Set<string>;
	timer: NodeJS.Timeout;
};

/** Keys, revisions and leases of the store stand-in, in memory; leases expire on the runtime's clock. */
export class StoreState implements Disposable {
	revision = 1;
	/** Changes up to this revision can no longer be watched. */
	discardedRevision = 0;
	readonly onDidChange: Event<KeyChange>;
	private readonly keys = new Map<string, StoredKey>();
	private readonly leases = new Map<string, Lease>();
	private readonly history: KeyChange[] = [];
	private readonly changeEmitter = new Emitter<KeyChange>();
	private lastLeaseNumber = 7_000_000_000_000;

	constructor() {
		this.onDidChange = this.changeEmitter.event;
	}

	get(key: string): StoredKey | undefined {
		return this.keys.get(key);
	}

	/** Returns the entries whose keys start with a prefix, sorted by key. */
	list(prefix: string): StoredKey[] {
		return [...this.keys.values()]
			.filter(entry => entry.key.startsWith(prefix))
			.sort((left, right) => left.key < right.key ? -1 : 1);
	}

	/** Discards the history of changes. */
	discardHistory(): void {
		this.history.length = 0;
		this.discardedRevision = this.revision;
	}

	hasLease(leaseId: string): boolean {
		return this.leases.has(leaseId);
	}

	/** Returns the changes from a revision on, including it. */
	changesSince(revision: number): KeyChange[] {
		return this.history.filter(change => change.revision >= revision);
	}

	/** Throws if the lease does not exist. */
	put(key: string, value: string, leaseId: string | undefined): StoredKey {
		const lease = leaseId === undefined ? undefined : this.leases.get(leaseId);
		if (leaseId !== undefined && !lease) {
			throw new Error('the lease does not exist');
		}

		const previous = this.keys.get(key);
		if (previous?.leaseId !== undefined) {
			this.leases.get(previous.leaseId)?.keys.delete(key);
		}

		lease?.keys.add(key);
		this.revision++;
		const entry: StoredKey = {
			key,
			value,
			createRevision: previous?.createRevision ?? this.revision,
			modRevision: this.revision,
			version: (previous?.version ?? 0) + 1,
			leaseId,
		};
		this.keys.set(key, entry);
		this.publish({key, entry, revision: this.revision});
		return entry;
	}

	delete(key: string): boolean {
		const previous = this.keys.get(key);
		if (!previous) {
			return false;
		}

		if (previous.leaseId !== undefined) {
			this.leases.get(previous.leaseId)?.keys.delete(key);
		}

		this.keys.delete(key);
		this.revision++;
		this.publish({key, revision: this.revision});
		return true;
	}

	grantLease(ttlMs: number): string {
		this.lastLeaseNumber++;
		const leaseId = String(this.lastLeaseNumber);
		this.leases.set(leaseId, {ttlMs, keys: new Set(), timer: this.expiryTimer(leaseId, ttlMs)});
		return leaseId;
	}

	/** Returns the lease's time to live, or undefined if it does not exist. */
	renewLease(leaseId: string): number | undefined {
		const lease = this.leases.get(leaseId);
		if (!lease) {
			return undefined;
		}

		clearTimeout(lease.timer);
		lease.timer = this.expiryTimer(leaseId, lease.ttlMs);
		return lease.ttlMs;
	}

	/** Revokes a lease and deletes its keys. */
	revokeLease(leaseId: string): boolean {
		const lease = this.leases.get(leaseId);
		if (!lease) {
			return false;
		}

		clearTimeout(lease.timer);
		this.leases.delete(leaseId);
		for (const key of lease.keys) {
			this.delete(key);
		}

		return true;
	}

	dispose(): void {
		for (const lease of this.leases.values()) {
			clearTimeout(lease.timer);
		}

		this.leases.clear();
		this.changeEmitter.dispose();
	}

	private expiryTimer(leaseId: string, ttlMs: number): NodeJS.Timeout {
		return setTimeout(() => {
			this.revokeLease(leaseId);
		}, ttlMs);
	}

	private publish(change: KeyChange): void {
		this.history.push(change);
		this.changeEmitter.fire(change);
	}
}
