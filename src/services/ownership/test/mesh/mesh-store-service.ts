import {Emitter} from '../../../../base/emitter.js';
import {ErrorKind} from '../../../../base/error-kind.js';
import {KumquatlineError} from '../../../../base/kumquatline-error.js';
import {type Disposable} from '../../../../base/disposable.js';
import {type StoreEntry} from '../../../../runtime/store/store-entry.js';
import {
	type StoreChange, type StoreListing, type StoreService, type SwapResult,
} from '../../../../runtime/store/store-service.js';
import {type MemoryStore} from './memory-store.js';
import {type MeshConditions} from './mesh-conditions.js';
import {type MeshProcess} from './mesh-process.js';

const timeoutMs = 300;
const relistMs = 200;

/** One node's client of the in-memory store, with delays, outages, cut connections and lost results. */
export class MeshStoreService implements StoreService {
	reachable = true;
	private readonly reachabilityEmitter = new Emitter<boolean>();

	constructor(
		private readonly store: MemoryStore,
		private readonly conditions: MeshConditions,
		private readonly process: MeshProcess,
	) {}

	get onDidChangeReachability() {
		return this.reachabilityEmitter.event;
	}

	async get(key: string): Promise<StoreEntry | undefined> {
		return this.exchange(() => this.store.get(key));
	}

	async getNewer(key: string, modRevision: number): Promise<StoreEntry | undefined> {
		const entry = await this.get(key);
		return entry && entry.modRevision > modRevision ? entry : undefined;
	}

	async list(prefix: string): Promise<StoreListing> {
		return this.exchange(() => ({entries: this.store.list(prefix), revision: this.store.currentRevision}));
	}

	async compareAndSwap(key: string, expectedModRevision: number, value: string, leaseId?: string): Promise<SwapResult> {
		if (this.conditions.delayedSwapNodeId === this.process.nodeId && key.startsWith('/kumquatline/shards/')) {
			await this.conditions.swapDelay;
		}

		return this.exchange(() => this.store.compareAndSwap(key, expectedModRevision, value, leaseId));
	}

	async compareAndDelete(key: string, expectedModRevision: number): Promise<boolean> {
		return this.exchange(() => this.store.compareAndDelete(key, expectedModRevision));
	}

	async grantLease(ttlMs: number): Promise<string> {
		return this.exchange(() => this.store.grantLease(ttlMs));
	}

	async renewLease(leaseId: string): Promise<boolean> {
		return this.exchange(() => this.store.renewLease(leaseId));
	}

	async revokeLease(leaseId: string): Promise<void> {
		await this.exchange(() => {
			this.store.revokeLease(leaseId);
		});
	}

	watch(prefix: string, listener: (change: StoreChange) => void): Disposable {
		const watching = {isDisposed: false};
		void this.deliverChanges(prefix, listener, watching);
		return {
			dispose() {
				watching.isDisposed = true;
			},
		};
	}

	/** Delivers changes as they happen, and lists all entries again after a time in which changes could not be delivered. */
	private async deliverChanges(prefix: string, listener: (change: StoreChange) => void, watching: {isDisposed: boolean}): Promise<void> {
		let hasMissedChanges = true;
		const stop = this.store.listen(async change => {
			if (!change.key.startsWith(prefix)) {
				return;
			}

			await this.conditions.transit();
			if (this.isCutOff || this.process.isFrozen || this.process.isKilled) {
				hasMissedChanges = true;
			} else if (!watching.isDisposed) {
				listener(change);
			}
		});
		while (!watching.isDisposed && !this.process.isKilled) {
			if (hasMissedChanges && !this.isCutOff) {
				await this.process.running();
				hasMissedChanges = false;
				for (const entry of this.store.list(prefix)) {
					listener({key: entry.key, entry, revision: entry.modRevision});
				}
			}

			await this.conditions.pause(relistMs);
		}

		stop();
	}

	private get isCutOff(): boolean {
		return this.store.isDown || this.process.isStoreCut;
	}

	private async exchange<T>(work: () => T): Promise<T> {
		await this.process.running();
		await this.conditions.transit();
		if (this.isCutOff) {
			await this.fail();
		}

		const result = work();
		if (this.conditions.chance(this.conditions.lostStoreResultRate)) {
			await this.fail();
		}

		await this.conditions.transit();
		await this.process.running();
		this.recordReachable(true);
		return result;
	}

	private async fail(): Promise<never> {
		await this.conditions.pause(timeoutMs);
		await this.process.running();
		this.recordReachable(false);
		throw new KumquatlineError(ErrorKind.StoreUnavailable, 'the store did not answer');
	}

	private recordReachable(isReachable: boolean): void {
		if (this.reachable !== isReachable) {
			this.reachable = isReachable;
			this.reachabilityEmitter.fire(isReachable);
		}
	}
}
