import {Deferred} from '../../base/deferred.js';
import {type SettingsService} from '../../runtime/settings/settings-service.js';
import {type LeaseService} from '../membership/lease-service.js';
import {type PolicyService} from '../policy/policy-service.js';
import {type HeldShard} from './held-shard.js';
import {mintedAtMs} from './minted-at-ms.js';
import {shardKey} from './shard-key.js';
import {type Shard} from './shard.js';
import {type ShardTable} from './shard-table.js';

type HeldShardState = HeldShard & {
	readonly index: number;
	readonly epoch: number;
	/** Raised when the history turns out to be lost. */
	takenOverAtMs: number;
	left: Deferred<void> | undefined;
};

/** Changes of a newer table that concern this node. */
type HeldShardChanges = {
	readonly lost: readonly string[];
	readonly gained: ReadonlyArray<{readonly index: number; readonly key: string; readonly shard: Shard}>;
};

/** The shards that tables assign to this incarnation of the node, and whether it is authoritative for them. */
export class HeldShards {
	private readonly heldShards = new Map<string, HeldShardState>();
	/** By service, the lease under which a swap or read of the table after the registration confirmed the authority. */
	private readonly confirmedLeases = new Map<string, string>();

	constructor(
		private readonly settings: SettingsService,
		private readonly policy: PolicyService,
		private readonly lease: LeaseService,
	) {}

	get(service: string, index: number): HeldShard | undefined {
		return this.heldShards.get(shardKey(service, index));
	}

	isMine(shard: Shard): boolean {
		return shard.nodeId === this.settings.settings.nodeId && shard.incarnation === this.settings.incarnation;
	}

	/** Whether the authority over the shards of a service still has to be confirmed under the current lease. */
	needsConfirmation(service: string): boolean {
		const {leaseId} = this.lease;
		return leaseId !== undefined && this.confirmedLeases.get(service) !== leaseId;
	}

	confirm(service: string, leaseId: string): void {
		this.confirmedLeases.set(service, leaseId);
	}

	/** Indexes of the owned shards of a service, without those that are being handed over. */
	indexes(service: string): readonly number[] {
		return [...this.heldShards.values()]
			.filter(({key, index, left}) => key === shardKey(service, index) && !left)
			.map(({index}) => index);
	}

	/** Suspends the authority over a shard while it is being handed over. */
	startHandOver(service: string, index: number): void {
		this.heldShards.get(shardKey(service, index))!.left = new Deferred();
	}

	/** Ends a hand-over; the authority is restored if the table still names this node. */
	endHandOver(service: string, index: number): void {
		const heldShard = this.heldShards.get(shardKey(service, index));
		heldShard?.left?.resolve();
		if (heldShard) {
			heldShard.left = undefined;
		}
	}

	/** Treats the history of a shard up to now as lost. */
	markHistoryLost(key: string): void {
		const heldShard = this.heldShards.get(key);
		if (heldShard) {
			heldShard.takenOverAtMs = Date.now();
		}
	}

	/** Applies a newer table. */
	update(table: ShardTable): HeldShardChanges {
		const lost: string[] = [];
		const gained: Array<HeldShardChanges['gained'][number]> = [];
		for (const [index, shard] of table.shards.entries()) {
			const key = shardKey(table.service, index);
			const heldShard = this.heldShards.get(key);
			const isMine = this.isMine(shard);
			if (heldShard && isMine && heldShard.epoch === shard.epoch) {
				continue;
			}

			if (heldShard) {
				this.heldShards.delete(key);
				heldShard.left?.resolve();
				lost.push(key);
			}

			if (isMine) {
				this.heldShards.set(key, this.createHeldShard(table.service, index, shard));
				gained.push({index, key, shard});
			}
		}

		return {lost, gained};
	}

	private createHeldShard(service: string, index: number, shard: Shard): HeldShardState {
		const key = shardKey(service, index);
		const heldShard: HeldShardState = {
			key,
			index,
			epoch: shard.epoch,
			takenOverAtMs: shard.takenOverAtMs,
			left: undefined,
			get leaving() {
				return this.left?.promise;
			},
			isAuthoritative: () => this.heldShards.get(key) === heldShard && !heldShard.left && this.hasConfirmedLease(service),
			mayHaveExecuted: requestId => this.mayHaveExecuted(heldShard.takenOverAtMs, requestId),
		};
		return heldShard;
	}

	private hasConfirmedLease(service: string): boolean {
		const {leaseId} = this.lease;
		return leaseId !== undefined && this.confirmedLeases.get(service) === leaseId && this.lease.isHeld();
	}

	/**
	An owner starts no request whose id was minted later than its own clock plus the skew bound, and its clock at the takeover was
	at most the skew bound ahead: the ids of all requests that it started were minted no later than the takeover plus twice the bound.
	*/
	private mayHaveExecuted(takenOverAtMs: number, requestId: string): boolean {
		if (takenOverAtMs === 0) {
			return false;
		}

		const safeFromMs = takenOverAtMs + (2 * this.settings.settings.clockSkewBoundMs);
		const minted = mintedAtMs(requestId);
		return minted === undefined
			? Date.now() <= safeFromMs + this.policy.current.retryHorizonMs
			: minted <= safeFromMs;
	}
}
