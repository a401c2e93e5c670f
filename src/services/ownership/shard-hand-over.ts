import {randomUUID} from 'node:crypto';
import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type LogService} from '../../runtime/log/log-service.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {type PeerService} from '../../runtime/peer/peer-service.js';
import {type Member} from '../membership/member.js';
import {type TransferredEntry} from './transferred-entry.js';
import {type RequestOwner} from './request-owner.js';
import {resolveMethod, type ResolveParams} from './resolve-method.js';
import {type ShardDirectory} from './shard-directory.js';
import {type HeldShards} from './held-shards.js';
import {shardKey} from './shard-key.js';
import {type Shard} from './shard.js';
import {pause} from './pause.js';
import {type ShardTable} from './shard-table.js';
import {takeShardMethod, type TakeShardParams} from './take-shard-method.js';

/** Successors by the index of their shard. */
type ShardMoves = ReadonlyMap<number, Member>;

type HandedOverShard = {
	readonly service: string;
	readonly index: number;
	readonly successor: PeerAddress;
	/** Whether the successor has accepted the shard's complete state. */
	readonly transferred: Promise<boolean>;
};

const entriesPerChunk = 200;
const callTimeoutMs = 1000;
const retryPauseMs = 200;
const maxResolveTries = 5;

/**
Planned hand-over of shards. From its start this node starts no execution for them; the state of their ids is transferred
to the successor; then one swap of the table makes it the owner. Outcomes of executions that end later are sent to the successor.
*/
export class ShardHandOver implements Disposable {
	private readonly disposables = new DisposableStore();
	private readonly handedOver = new Map<string, HandedOverShard>();
	private readonly deliveries = new Set<Promise<void>>();

	constructor(
		private readonly directory: ShardDirectory,
		private readonly heldShards: HeldShards,
		private readonly owner: RequestOwner,
		private readonly peers: PeerService,
		private readonly log: LogService,
	) {
		this.disposables.add(owner.onDidEnd(({entry, state, answer, failure}) => {
			const handedOver = this.handedOver.get(entry.shardKey);
			if (handedOver) {
				const {service, index} = handedOver;
				this.deliverOutcome(handedOver, {
					service, index, requestId: entry.requestId, callId: entry.callId!, state, answer, failure,
				});
			}
		}));
	}

	/** Hands over shards of a service; those that can't be transferred stay here. Resolves when the table names the successors or the signal is aborted. */
	async handOver(service: string, moves: ShardMoves, signal: AbortSignal): Promise<void> {
		const handOverId = randomUUID();
		const transferredShards = new Map<number, Member>();
		for (const index of moves.keys()) {
			this.heldShards.startHandOver(service, index);
		}

		for (const [index, successor] of moves) {
			const transferring = this.transferShard(handOverId, service, index, successor);
			this.handedOver.set(shardKey(service, index), {
				service, index, successor, transferred: transferring,
			});
			if (await transferring) {
				transferredShards.set(index, successor);
			} else {
				// The table has not been changed, so this node still owns the shard.
				this.handedOver.delete(shardKey(service, index));
				this.heldShards.endHandOver(service, index);
			}
		}

		if (transferredShards.size > 0) {
			await this.swap(service, handOverId, transferredShards, signal);
		}
	}

	/** Resolves when the outcomes of the executions that have ended have been sent, or could not be sent after several tries. */
	async whenOutcomesDelivered(): Promise<void> {
		await Promise.all(this.deliveries);
	}

	/** Forwards the outcome of an execution that an earlier owner started to the successor, if this node handed the shard over. */
	forwardOutcome(params: ResolveParams): void {
		const handedOver = this.handedOver.get(shardKey(params.service, params.index));
		if (handedOver) {
			this.deliverOutcome(handedOver, params);
		}
	}

	/** To be called when this node owns the shard again. */
	recordRegained(key: string): void {
		this.handedOver.delete(key);
	}

	dispose(): void {
		this.disposables.dispose();
	}

	/** Sends the complete state of a shard; false if the successor did not accept all of it. */
	private async transferShard(handOverId: string, service: string, index: number, successor: Member): Promise<boolean> {
		const key = shardKey(service, index);
		const entries = this.owner.exportEntries(key);
		let counts = this.owner.counts.ofShard(key);
		for (const chunk of chunksOf(entries)) {
			const params = {
				handOverId, service, index, entries: chunk, counts,
			};
			if (!await this.transferChunk(successor, params)) {
				return false;
			}

			counts = [];
		}

		return true;
	}

	private async transferChunk(successor: Member, params: TakeShardParams): Promise<boolean> {
		try {
			const reply = await this.peers.call(successor, takeShardMethod, params, {timeoutMs: callTimeoutMs});
			return reply.isTaken;
		} catch (error) {
			assertExpected(error);
			return false;
		}
	}

	/** Repeats the swap until the table names the successors or the signal is aborted, also if the result of a swap was lost. */
	private async swap(service: string, handOverId: string, moves: ShardMoves, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const table = await this.readTable(service, signal);
			const isComplete = table && [...moves.keys()].every(index => !this.heldShards.isMine(table.shards[index]));
			if (isComplete) {
				this.log.info('shards handed over', {service, count: moves.size});
				return;
			}

			const swapped = table && await this.trySwap(table, handOverId, moves, signal);
			if (!swapped) {
				await pause(retryPauseMs);
			}
		}
	}

	private async readTable(service: string, signal: AbortSignal): Promise<ShardTable | undefined> {
		try {
			return await this.directory.read(service, signal);
		} catch (error) {
			assertExpected(error);
			return undefined;
		}
	}

	private async trySwap(table: ShardTable, handOverId: string, moves: ShardMoves, signal: AbortSignal): Promise<boolean> {
		const shards = table.shards.map((shard, index): Shard => {
			const successor = this.heldShards.isMine(shard) ? moves.get(index) : undefined;
			return successor
				? {
					nodeId: successor.nodeId,
					incarnation: successor.incarnation,
					epoch: shard.epoch + 1,
					takenOverAtMs: shard.takenOverAtMs,
					handOverId,
				}
				: shard;
		});
		try {
			return await this.directory.swap(table.service, table.modRevision, shards, signal) !== undefined;
		} catch (error) {
			assertExpected(error);
			return false;
		}
	}

	private deliverOutcome(handedOver: HandedOverShard, params: ResolveParams): void {
		const delivery = this.deliverWithRetries(handedOver, params);
		this.deliveries.add(delivery);
		void this.removeWhenEnded(delivery);
	}

	private async removeWhenEnded(delivery: Promise<void>): Promise<void> {
		await delivery;
		this.deliveries.delete(delivery);
	}

	private async deliverWithRetries({transferred, successor}: HandedOverShard, params: ResolveParams): Promise<void> {
		if (!await transferred) {
			return;
		}

		for (let tries = 0; tries < maxResolveTries; tries++) {
			try {
				await this.peers.call(successor, resolveMethod, params, {timeoutMs: callTimeoutMs});
				return;
			} catch (error) {
				assertExpected(error);
				await pause(retryPauseMs);
			}
		}
	}
}

function chunksOf(entries: readonly TransferredEntry[]): ReadonlyArray<readonly TransferredEntry[]> {
	const chunks = [entries.slice(0, entriesPerChunk)];
	for (let start = entriesPerChunk; start < entries.length; start += entriesPerChunk) {
		chunks.push(entries.slice(start, start + entriesPerChunk));
	}

	return chunks;
}

function assertExpected(error: unknown): void {
	if (!(error instanceof KumquatlineError)) {
		throw error;
	}
}
