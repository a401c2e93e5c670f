import {type SettingsService} from '../../platform/settings/settings-service.js';
import {type LeaseService} from '../membership/lease-service.js';
import {type PolicyService} from '../policy/policy-service.js';
import {type HeldShard} from './held-shard.js';
import {mintedAtMs} from './minted-at-ms.js';
import {type Shard} from './shard.js';
import {type ShardTable} from './shard-table.js';

type Holding = HeldShard & {
	readonly epoch: number;
	readonly takenOverAtMs: number;
};

/** The shards that tables give to this run of the node, and whether its right to them stands. */
export class ShardHoldings {
	private readonly holdings = new Map<string, Holding>();
	/** Lease by service under which a swap or reading of the table after the registration confirmed the right. */
	private readonly confirmedLeases = new Map<string, string>();

	constructor(
		private readonly settings: SettingsService,
		private readonly policy: PolicyService,
		private readonly lease: LeaseService,
	) {}

	get(service: string, index: number): HeldShard | undefined {
		return this.holdings.get(keyOf(service, index));
	}

	isMine(shard: Shard): boolean {
		return shard.nodeId === this.settings.settings.nodeId && shard.incarnation === this.settings.incarnation;
	}

	/** Whether the right to the shards of a service still has to be confirmed under the present lease. */
	needsConfirmation(service: string): boolean {
		const {leaseId} = this.lease;
		return leaseId !== undefined && this.confirmedLeases.get(service) !== leaseId;
	}

	confirm(service: string, leaseId: string): void {
		this.confirmedLeases.set(service, leaseId);
	}

	/** Follows a newer table; returns the keys of shards that were lost. */
	update(table: ShardTable): readonly string[] {
		const lost: string[] = [];
		for (const [index, shard] of table.shards.entries()) {
			const key = keyOf(table.service, index);
			const held = this.holdings.get(key);
			const isMine = this.isMine(shard);
			if (held && isMine && held.epoch === shard.epoch) {
				continue;
			}

			if (held) {
				this.holdings.delete(key);
				lost.push(key);
			}

			if (isMine) {
				this.holdings.set(key, this.hold(table.service, key, shard));
			}
		}

		return lost;
	}

	private hold(service: string, key: string, shard: Shard): Holding {
		const {epoch, takenOverAtMs} = shard;
		const holding: Holding = {
			key,
			epoch,
			takenOverAtMs,
			mayAct: () => this.holdings.get(key) === holding && this.isRightHeld(service),
			mayHaveRun: requestId => this.mayHaveRun(takenOverAtMs, requestId),
		};
		return holding;
	}

	private isRightHeld(service: string): boolean {
		const {leaseId} = this.lease;
		return leaseId !== undefined && this.confirmedLeases.get(service) === leaseId && this.lease.isHeld();
	}

	/**
	An owner runs no id minted later than its own clock and the skew bound, and its clock at the takeover
	was at most the skew bound ahead: what it ran was minted before the takeover and twice the bound.
	*/
	private mayHaveRun(takenOverAtMs: number, requestId: string): boolean {
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

function keyOf(service: string, index: number): string {
	return `${service}/${index}`;
}
