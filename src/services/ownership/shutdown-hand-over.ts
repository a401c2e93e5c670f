import {type Member} from '../membership/member.js';
import {type MembershipService} from '../membership/membership-service.js';
import {pause} from './pause.js';
import {reassignShards} from './reassign-shards.js';
import {type IncomingTransfers} from './incoming-transfers.js';
import {type ShardDirectory} from './shard-directory.js';
import {type ShardHandOver} from './shard-hand-over.js';
import {type HeldShards} from './held-shards.js';

const maxRounds = 10;
const roundPauseMs = 200;

/** Hands over all shards of a node that is shutting down. */
export class ShutdownHandOver {
	constructor(
		private readonly directory: ShardDirectory,
		private readonly heldShards: HeldShards,
		private readonly incomingTransfers: IncomingTransfers,
		private readonly handOvers: ShardHandOver,
		private readonly membership: MembershipService,
	) {}

	private get hasShards(): boolean {
		return !this.incomingTransfers.isEmpty || this.directory.all.some(({service}) => this.heldShards.indexes(service).length > 0);
	}

	/** Hands over in several rounds, since other nodes may still be handing shards to this one and a successor may join late. Resolves when no shard is left, after the last round, or when the signal is aborted. */
	async handOverAll(signal: AbortSignal): Promise<void> {
		for (let round = 0; round < maxRounds && !signal.aborted && this.hasShards; round++) {
			await this.handOverOnce(signal);
			await pause(roundPauseMs);
		}
	}

	private async handOverOnce(signal: AbortSignal): Promise<void> {
		for (const {service, shards} of this.directory.all) {
			const successors = this.successors(service);
			const own = this.heldShards.indexes(service);
			if (successors.length > 0 && own.length > 0) {
				const chosen = reassignShards(shards.map((shard, index) => own.includes(index) ? undefined : shard), successors);
				await this.handOvers.handOver(service, new Map(own.map((index, position) => [index, chosen[position]])), signal);
			}
		}
	}

	private successors(service: string): readonly Member[] {
		const {nodeId} = this.membership.self;
		return this.membership.upstreams(service).filter(member => member.nodeId !== nodeId);
	}
}
