import {type Disposable} from '../../base/disposable.js';
import {type Event} from '../../base/event.js';
import {createServiceId} from '../kernel/create-service-id.js';
import {type StoreEntry} from './store-entry.js';
import {type WatchOptions} from './watch-options.js';

/** A consistent listing of all keys under a prefix. */
export type StoreListing = {
	readonly entries: readonly StoreEntry[];
	/** Revision of the store at the time of the listing; a watch continues from the next revision. */
	readonly revision: number;
};

/** If `swapped` is false, `current` is the entry that was found instead, if any. */
export type SwapResult = {
	readonly swapped: boolean;
	readonly modRevision: number;
	readonly current?: StoreEntry;
};

/** A change under a watched prefix; without `entry`, the key was deleted. */
export type StoreChange = {
	readonly key: string;
	readonly entry?: StoreEntry;
	readonly revision: number;
};

/**
The platform's key-value store: compare-and-swap, leases and watches.

Calls throw `store-unavailable` if the store does not answer in time; a change may have taken effect nevertheless.
*/
export interface StoreService {
	/** Whether the store answered the last call. */
	readonly reachable: boolean;
	readonly onDidChangeReachability: Event<boolean>;
	get(key: string, signal?: AbortSignal): Promise<StoreEntry | undefined>;
	/** Returns the key's entry if its revision is higher than the known one; takes one call to the store, and few bytes if there is no newer revision. */
	getNewer(key: string, knownModRevision: number, signal?: AbortSignal): Promise<StoreEntry | undefined>;
	list(prefix: string, signal?: AbortSignal): Promise<StoreListing>;
	/** Writes `value` if the key's revision is `expectedModRevision`; 0 means that the key must not exist. */
	compareAndSwap(key: string, expectedModRevision: number, value: string, leaseId?: string, signal?: AbortSignal): Promise<SwapResult>;
	/** Deletes the key if its revision is `expectedModRevision`. */
	compareAndDelete(key: string, expectedModRevision: number, signal?: AbortSignal): Promise<boolean>;
	/** Returns the id of a new lease. */
	grantLease(ttlMs: number, signal?: AbortSignal): Promise<string>;
	/** Returns false if the lease no longer exists. */
	renewLease(leaseId: string, signal?: AbortSignal): Promise<boolean>;
	revokeLease(leaseId: string, signal?: AbortSignal): Promise<void>;
	/**
	Reports the changes under a prefix, starting with the current entries, until disposed.
	A listener sees the latest state but may miss intermediate ones: every `options.checkIntervalMs`, the watch is compared with
	a listing by revision, which replaces a silent or broken watch.
	*/
	watch(prefix: string, listener: (change: StoreChange) => void, options?: WatchOptions): Disposable;
}

export const StoreService = createServiceId<StoreService>('store');
