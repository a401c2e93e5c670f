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

/** Nodes of an availability zone that watch the registrations; the others hear of changes by gossip. */
const watchersPerZone = 2;
const roleCheckMs = 5000;
/** Time between two listings, a safety net for what gossip has missed. */
const relistMs = 900_000;
/** Listings after the store has come back are spread over this time. */
const returnSpreadMs = 10_000;
/** Least time between two listings that were asked for. */
const minListGapMs = 15_000;
const firstRetryMs = 500;
const maxRetryMs = 15_000;
/** A dead member is kept this long at least, so that late gossip does not bring it back. */
const tombstoneMs = 60_000;
const jitterShare = 0.3;

type RegistrationHost = {
	readonly self: Member;
	/** Takes a registration over; news that only this node may have is passed on. */
	readonly merge: (member: Member, passOn: boolean) => void;
	readonly setWatching: (watching: boolean) => void;
	/** Looks for members without the store. */
	readonly joinThroughPeers: (signal: AbortSignal) => Promise<void>;
};

/** Follows the registrations in the store: all nodes by rare listings, a few of each zone by a watch. */
export class RegistrationReader implements Disposable {
	private readonly disposables = new DisposableStore();
	private readonly waiter = new Waiter();
	private readonly goneSinceMs = new Map<string, number>();
	private watch: Disposable | undefined;
	private listed = false;
	private failures = 0;
	private relistAtMs = 0;
	private listedAtMs = 0;

	constructor(
		private readonly host: RegistrationHost,
		private readonly store: StoreService,
		private readonly table: MemberTable,
		private readonly random: SeededRandom,
	) {
		this.disposables.add(store.onDidChangeReach(reachable => {
			if (reachable && this.listed) {
				this.listSoon();
			}
		}));
	}

	/** Brings the next listing forward, spread over some time because many nodes ask for it at once. */
	listSoon(): void {
		const earliestMs = Math.max(performance.now(), this.listedAtMs + minListGapMs);
		const soonMs = earliestMs + (returnSpreadMs * this.random.next());
		if (soonMs < this.relistAtMs) {
			this.relistAtMs = soonMs;
			this.waiter.wake();
		}
	}

	/** Lists once; resolved whether it succeeds or not. */
	async list(signal: AbortSignal): Promise<void> {
		try {
			const {entries} = await this.store.list(registrationPrefix, signal);
			this.failures = 0;
			this.listed = true;
			this.listedAtMs = performance.now();
			this.relistAtMs = performance.now() + this.random.jitter(relistMs, jitterShare);
			this.takeOver(entries.map(entry => parseMember(entry.value)).filter(member => member !== undefined));
		} catch {
			this.failures++;
			this.relistAtMs = performance.now() + this.random.jitter(Math.min(maxRetryMs, firstRetryMs * (2 ** this.failures)), jitterShare);
			await this.host.joinThroughPeers(signal);
		}
	}

	/** The task that lists again and takes up or lays down the watch, until it is stopped. */
	async run(signal: AbortSignal): Promise<void> {
		this.setRole(this.listed && this.isWatcher());
		while (!signal.aborted) {
			const leftMs = Math.max(1, this.relistAtMs - performance.now());
			await this.waiter.wait(Math.min(leftMs, this.random.jitter(roleCheckMs, jitterShare)), signal);
			if (!signal.aborted && performance.now() >= this.relistAtMs) {
				await this.list(signal);
			}

			this.setRole(!signal.aborted && this.listed && this.isWatcher());
		}
	}

	dispose(): void {
		this.setRole(false);
		this.disposables.dispose();
	}

	/** The longest running nodes of a zone watch, so that the role seldom moves. */
	private isWatcher(): boolean {
		const {self} = this.host;
		const older = this.table.all.filter(member => member.availabilityZone === self.availabilityZone
			&& member.incarnation < self.incarnation
			&& !goneStates.has(member.state)
			&& member.state !== MemberState.Suspect);
		return older.length < watchersPerZone;
	}

	private setRole(watching: boolean): void {
		if (watching === (this.watch !== undefined)) {
			return;
		}

		this.watch?.dispose();
		this.watch = undefined;
		if (watching) {
			this.watch = this.store.watch(registrationPrefix, change => {
				const member = change.entry && parseMember(change.entry.value);
				if (member) {
					this.host.merge(member, true);
				}
			});
		}

		this.host.setWatching(watching);
	}

	private takeOver(registered: readonly Member[]): void {
		for (const member of registered) {
			this.host.merge(member, false);
		}

		this.forgetGone(new Set(registered.map(member => member.nodeId)));
	}

	/** Forgets members that have been dead for long and are not registered. */
	private forgetGone(registered: ReadonlySet<string>): void {
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
