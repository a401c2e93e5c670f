import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type LogService} from '../../runtime/log/log-service.js';
import {type SettingsService} from '../../runtime/settings/settings-service.js';
import {type LeaseService} from '../membership/lease-service.js';
import {MemberState} from '../membership/member-state.js';
import {type Member} from '../membership/member.js';
import {type MembershipService} from '../membership/membership-service.js';
import {type PolicyService} from '../policy/policy-service.js';
import {findIncarnation} from './find-incarnation.js';
import {reassignShards} from './reassign-shards.js';
import {type ShardDirectory} from './shard-directory.js';
import {type ShardHandOver} from './shard-hand-over.js';
import {type HeldShards} from './held-shards.js';
import {type Shard} from './shard.js';
import {type ShardTable} from './shard-table.js';
import {surplusMoves} from './surplus-moves.js';

const defaultShardCount = 32;
/** Rounds between store lookups of an owner that membership still reports as alive. */
const aliveOwnerCheckRounds = 10;

/** Rounds between checks of how the shards are distributed. */
const rebalanceRounds = 3;
const aliveStates: ReadonlySet<MemberState> = new Set([MemberState.Joined, MemberState.Serving, MemberState.Draining]);

/**
Maintains the shard table of the node's own service: creates it, confirms this node's authority over its shards
after each new lease, and reassigns the shards of owners that are no longer registered in the store.
*/
export class ShardTableMaintainer {
	private round = 0;
	/** When the store last became reachable again, or this node started, on the monotonic clock. */
	private storeReachableAtMs = performance.now();

	constructor(
		private readonly directory: ShardDirectory,
		private readonly heldShards: HeldShards,
		private readonly handOver: ShardHandOver,
		private readonly settings: SettingsService,
		private readonly policy: PolicyService,
		private readonly lease: LeaseService,
		private readonly membership: MembershipService,
		private readonly log: LogService,
	) {}

	/** To be called when the store is reachable again. */
	recordStoreReachable(): void {
		this.storeReachableAtMs = performance.now();
	}

	/** Performs one round; after a failure to reach the store, the next round tries again. */
	async maintain(signal: AbortSignal): Promise<void> {
		const {service} = this.membership.self;
		if (service === undefined || !this.lease.isHeld()) {
			return;
		}

		try {
			this.directory.watch(service);
			await this.confirm(service, signal);
			await this.createOrTakeOver(service, signal);
			await this.rebalance(service, signal);
		} catch (error) {
			if (!(error instanceof KumquatlineError)) {
				throw error;
			}

			this.log.debug('failed to maintain the shard table, will try again in the next round', {service, kind: error.kind});
		}
	}

	/**
	Confirms the authority over shards under a new lease. A node that tried to take them over while there was no lease
	swaps against the table that it read before, so the swap here, made once the node is registered again, makes that one fail.
	*/
	private async confirm(service: string, signal: AbortSignal): Promise<void> {
		const {leaseId} = this.lease;
		if (leaseId === undefined || !this.heldShards.needsConfirmation(service)) {
			return;
		}

		const {self} = this.membership;
		if (await this.membership.isDeregistered(self.nodeId, self.incarnation, signal)) {
			throw new KumquatlineError(ErrorKind.StoreUnavailable, 'this node is not registered yet');
		}

		const table = await this.directory.read(service, signal);
		const isNamed = table?.shards.some(shard => this.heldShards.isMine(shard)) ?? false;
		if (table && isNamed && !await this.directory.swap(service, table.modRevision, table.shards, signal)) {
			return;
		}

		this.heldShards.confirm(service, leaseId);
	}

	private async createOrTakeOver(service: string, signal: AbortSignal): Promise<void> {
		if (this.membership.self.state !== MemberState.Serving || this.heldShards.needsConfirmation(service)) {
			return;
		}

		const table = this.directory.known(service) ?? await this.directory.read(service, signal);
		await (table ? this.takeOver(table, signal) : this.create(service, signal));
	}

	private async create(service: string, signal: AbortSignal): Promise<void> {
		const shardCount = this.policy.current.services.find(({name}) => name === service)?.shardCount ?? defaultShardCount;
		const owners = reassignShards(Array.from({length: shardCount}), this.upstreams(service));
		const shards = owners.map(owner => newShard(owner, 1, 0));
		const table = await this.directory.swap(service, 0, shards, signal);
		if (table) {
			this.log.info('shard table created', {service, shardCount});
		}
	}

	/** Reassigns the shards of deregistered owners, with one swap against a table read before the lookup of their registrations. */
	private async takeOver(known: ShardTable, signal: AbortSignal): Promise<void> {
		this.round++;
		if (performance.now() - this.storeReachableAtMs < this.settings.settings.leaseTtlMs) {
			return;
		}

		const toCheck = this.ownersToCheck(known);
		if (toCheck.length === 0) {
			return;
		}

		const table = await this.directory.read(known.service, signal);
		const deregistered = table ? await this.deregisteredOwners(toCheck, signal) : new Set<string>();
		if (!table || deregistered.size === 0) {
			return;
		}

		const kept = table.shards.map(shard => deregistered.has(shard.incarnation) ? undefined : shard);
		const owners = [...reassignShards(kept, this.upstreams(table.service))];
		const takenOverAtMs = Date.now();
		const shards = table.shards.map((shard, index) => kept[index] ?? newShard(owners.shift()!, shard.epoch + 1, takenOverAtMs));
		if (await this.directory.swap(table.service, table.modRevision, shards, signal)) {
			this.log.info('shards taken over', {service: table.service, from: [...deregistered]});
		}
	}

	/** Hands over shards above this node's target count to upstreams that are below theirs. */
	private async rebalance(service: string, signal: AbortSignal): Promise<void> {
		const table = this.directory.known(service);
		if (!table || this.round % rebalanceRounds !== 0 || this.membership.self.state !== MemberState.Serving) {
			return;
		}

		const moves = surplusMoves(table, this.heldShards.indexes(service), this.membership.self.nodeId, this.upstreams(service));
		if (moves.size > 0) {
			await this.handOver.handOver(service, moves, signal);
		}
	}

	/** Owners that are not reported as alive, and periodically one that is: it may have lost only its lease. */
	private ownersToCheck(table: ShardTable): readonly Shard[] {
		const owners = [...new Map(table.shards.map(shard => [shard.incarnation, shard])).values()]
			.filter(shard => !this.heldShards.isMine(shard));
		const heard = owners.filter(owner => this.isAlive(owner));
		const turn = this.round / aliveOwnerCheckRounds;
		const inTurn = heard.length > 0 && Number.isInteger(turn) ? [heard[turn % heard.length]] : [];
		return [...owners.filter(owner => !this.isAlive(owner)), ...inTurn];
	}

	private isAlive(owner: Shard): boolean {
		const member = findIncarnation(this.membership, owner);
		return member !== undefined && aliveStates.has(member.state);
	}

	private async deregisteredOwners(owners: readonly Shard[], signal: AbortSignal): Promise<ReadonlySet<string>> {
		const deregistered = new Set<string>();
		for (const {nodeId, incarnation} of owners) {
			if (await this.membership.isDeregistered(nodeId, incarnation, signal)) {
				deregistered.add(incarnation);
			}
		}

		return deregistered;
	}

	private upstreams(service: string): readonly Member[] {
		const {self} = this.membership;
		const others = this.membership.upstreams(service).filter(member => member.nodeId !== self.nodeId);
		return [...others, self];
	}
}

function newShard(owner: Member, epoch: number, takenOverAtMs: number): Shard {
	const {nodeId, incarnation} = owner;
	return {
		nodeId, incarnation, epoch, takenOverAtMs,
	};
}
