import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Waiter} from '../../base/waiter.js';
import {type StoreService} from '../../runtime/store/store-service.js';
import {goneStates} from './gone-states.js';
import {type Member} from './member.js';
import {MemberState} from './member-state.js';
import {type MemberTable} from './member-table.js';
import {parseMember} from './parse-member.js';
import {registrationPrefix} from './registration-prefix.js';
import {type SeededRandom} from './seeded-random.js';

/** Number of nodes in each availability zone that watch the registrations; the other nodes receive changes by gossip. */
const watchersPerZone = 2;
const watcherCheckMs = 5000;
/** Renewal of a watch without changes; gossip brings what a watch that has died would miss. */
const watchCheckIntervalMs = 30_000;
/** Time for which registrations are collected, as when many nodes start together. */
const watchCollectMs = 1000;
/** Time between two listings, which pick up changes that gossip has missed. */
const listIntervalMs = 900_000;
/** Time over which the nodes spread listings that many of them need at once, as when the store is reachable again. */
const listSpreadMs = 10_000;
/** Minimum time between a listing and an early one requested by `listSoon`. */
const minListIntervalMs = 15_000;
const baseRetryMs = 500;
const maxRetryMs = 15_000;
/** Minimum time for which a member that is dead or has left is kept, so that delayed gossip doesn't bring it back. */
const tombstoneMs = 60_000;
const jitterFraction = 0.3;

type RegistrationHost = {
	readonly self: Member;
	/** Applies a registration; `broadcast` is set if other nodes may not have it. */
	readonly apply: (member: Member, broadcast: boolean) => void;
	/** Discovers members without the store. */
	readonly joinThroughPeers: (signal: AbortSignal) => Promise<void>;
};

/** Reads the registrations in the store: all nodes list them infrequently, and a few in each availability zone watch them. */
export class RegistrationReader implements Disposable {
	private readonly disposables = new DisposableStore();
	private readonly waiter = new Waiter();
	private readonly goneSinceMs = new Map<string, number>();
	private watch: Disposable | undefined;
	private hasListed = false;
	private failures = 0;
	private nextListAtMs = 0;
	private listedAtMs = 0;

	constructor(
		private readonly host: RegistrationHost,
		private readonly store: StoreService,
		private readonly table: MemberTable,
		private readonly random: SeededRandom,
	) {
		this.disposables.add(store.onDidChangeReachability(reachable => {
			if (reachable && this.hasListed) {
				this.listSoon();
			}
		}));
	}

	/** Brings the next listing forward to a random time, because many nodes need one at the same time. */
	listSoon(): void {
		const earliestMs = Math.max(performance.now(), this.listedAtMs + minListIntervalMs);
		const soonMs = earliestMs + (listSpreadMs * this.random.next());
		if (soonMs < this.nextListAtMs) {
			this.nextListAtMs = soonMs;
			this.waiter.wake();
		}
	}

	/** Lists the registrations once; resolves whether or not it succeeds. */
	async list(signal: AbortSignal): Promise<void> {
		try {
			const {entries} = await this.store.list(registrationPrefix, signal);
			this.failures = 0;
			this.hasListed = true;
			this.listedAtMs = performance.now();
			this.nextListAtMs = performance.now() + this.random.jitter(listIntervalMs, jitterFraction);
			this.applyListing(entries.map(entry => parseMember(entry.value)).filter(member => member !== undefined));
		} catch {
			this.failures++;
			this.nextListAtMs = performance.now() + this.random.jitter(Math.min(maxRetryMs, baseRetryMs * (2 ** this.failures)), jitterFraction);
			await this.host.joinThroughPeers(signal);
		}
	}

	/** Repeats the listing and starts or stops the watch as needed, until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		this.updateWatch(this.hasListed && this.isWatcher());
		while (!signal.aborted) {
			const remainingMs = Math.max(1, this.nextListAtMs - performance.now());
			await this.waiter.wait(Math.min(remainingMs, this.random.jitter(watcherCheckMs, jitterFraction)), signal);
			if (!signal.aborted && performance.now() >= this.nextListAtMs) {
				await this.list(signal);
			}

			this.updateWatch(!signal.aborted && this.hasListed && this.isWatcher());
		}
	}

	dispose(): void {
		this.updateWatch(false);
		this.disposables.dispose();
	}

	/** Whether this node is among the longest running nodes of its availability zone; these watch, so that watchers change rarely. */
	private isWatcher(): boolean {
		const {self} = this.host;
		const older = this.table.all.filter(member => member.availabilityZone === self.availabilityZone
			&& member.incarnation < self.incarnation
			&& !goneStates.has(member.state)
			&& member.state !== MemberState.Suspect);
		return older.length < watchersPerZone;
	}

	private updateWatch(watching: boolean): void {
		if (watching === (this.watch !== undefined)) {
			return;
		}

		this.watch?.dispose();
		this.watch = undefined;
		if (watching) {
			this.watch = this.store.watch(registrationPrefix, change => {
				const member = change.entry && parseMember(change.entry.value);
				if (member) {
					this.host.apply(member, true);
				}
			}, {checkIntervalMs: watchCheckIntervalMs, collectMs: watchCollectMs});
		}
	}

	private applyListing(registered: readonly Member[]): void {
		for (const member of registered) {
			this.host.apply(member, false);
		}

		this.removeGone(new Set(registered.map(member => member.nodeId)));
	}

	/** Removes members that have been gone for at least `tombstoneMs` and are not registered. */
	private removeGone(registered: ReadonlySet<string>): void {
		const nowMs = performance.now();
		for (const {nodeId, state} of this.table.all) {
			if (!goneStates.has(state)) {
				this.goneSinceMs.delete(nodeId);
				continue;
			}

			const sinceMs = this.goneSinceMs.get(nodeId) ?? nowMs;
			this.goneSinceMs.set(nodeId, sinceMs);
			if (nowMs - sinceMs >= tombstoneMs && !registered.has(nodeId)) {
				this.table.remove(nodeId);
				this.goneSinceMs.delete(nodeId);
			}
		}
	}
}
