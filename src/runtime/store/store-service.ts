import {type Disposable} from '../../base/disposable.js';
import {type Event} from '../../base/event.js';
import {createServiceId} from '../kernel/create-service-id.js';
import {type StoreEntry} from './store-entry.js';

/** A consistent reading of all keys under a prefix. */
export type StoreListing = {
	readonly entries: readonly StoreEntry[];
	/** Revision of the store at the reading; a watch goes on from the next. */
	readonly revision: number;
};

/** `swapped` false carries the entry found instead, if any. */
export type SwapResult = {
	readonly swapped: boolean;
	readonly modRevision: number;
	readonly current?: StoreEntry;
};

/** A change under a watched prefix; without `entry` the key is gone. */
export type StoreChange = {
	readonly key: string;
	readonly entry?: StoreEntry;
	readonly revision: number;
};

/**
The platform's key-value store: compare-and-swap, leases and watches.

Calls throw `store-unavailable` when no answer came in time; a change may have taken effect all the same.
*/
export interface StoreService {
	/** Whether the last call was answered. */
	readonly reachable: boolean;
	readonly onDidChangeReach: Event<boolean>;
	get(key: string, signal?: AbortSignal): Promise<StoreEntry | undefined>;
	/** The key's entry if its revision is higher than the known one; costs the store one call and, without news, few bytes. */
	getNewer(key: string, knownModRevision: number, signal?: AbortSignal): Promise<StoreEntry | undefined>;
	list(prefix: string, signal?: AbortSignal): Promise<StoreListing>;
	/** Writes `value` if the key's revision is `expectedModRevision`; 0 expects the key to be absent. */
	compareAndSwap(key: string, expectedModRevision: number, value: string, leaseId?: string, signal?: AbortSignal): Promise<SwapResult>;
	/** Deletes the key if its revision is `expectedModRevision`. */
	compareAndDelete(key: string, expectedModRevision: number, signal?: AbortSignal): Promise<boolean>;
	/** Returns the id of a new lease. */
	grantLease(ttlMs: number, signal?: AbortSignal): Promise<string>;
	/** Returns false when the lease is gone. */
	renewLease(leaseId: string, signal?: AbortSignal): Promise<boolean>;
	revokeLease(leaseId: string, signal?: AbortSignal): Promise<void>;
	/**
	Reports every change under a prefix, beginning with the present entries, until disposed.
	A listener sees the latest state but maybe not each step: every `checkIntervalMs` the watch is compared with
	a reading by revision, which replaces a watch that is silent or broken.
	*/
	watch(prefix: string, listener: (change: StoreChange) => void, checkIntervalMs?: number): Disposable;
}

export const StoreService = createServiceId<StoreService>('store');
