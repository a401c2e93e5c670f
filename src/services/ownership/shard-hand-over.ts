import {randomUUID} from 'node:crypto';
import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type LogService} from '../../runtime/log/log-service.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {type PeerService} from '../../runtime/peer/peer-service.js';
import {type Member} from '../membership/member.js';
import {type CarriedEntry} from './carried-entry.js';
import {type RequestOwner} from './request-owner.js';
import {resolveMethod, type ResolveParams} from './resolve-method.js';
import {type ShardDirectory} from './shard-directory.js';
import {type ShardHoldings} from './shard-holdings.js';
import {shardKey} from './shard-key.js';
import {type Shard} from './shard.js';
import {pause} from './pause.js';
import {type ShardTable} from './shard-table.js';
import {takeShardMethod, type TakeShardParams} from './take-shard-method.js';

/** Successors by the index of their shard. */
type ShardMoves = ReadonlyMap<number, Member>;

type HandedShard = {
	readonly service: string;
	readonly index: number;
	readonly successor: PeerAddress;
	/** Whether the successor has accepted the shard's complete state. */
	readonly given: Promise<boolean>;
};

const chunkEntries = 200;
const callTimeoutMs = 1000;
const retryPauseMs = 200;
const resolveTries = 5;

/**
Planned hand-over of shards. From its start this node starts no execution for them; the state of their ids is transferred
to the successor; then one swap of the table makes it the owner. Outcomes of executions that end later are sent to the successor.
*/
export class ShardHandOver implements Disposable {
	private readonly disposables = new DisposableStore();
	private readonly handed = new Map<string, HandedShard>();
	private readonly tellings = new Set<Promise<void>>();

	constructor(
		private readonly directory: ShardDirectory,
		private readonly holdings: ShardHoldings,
		private readonly owner: RequestOwner,
		private readonly peers: PeerService,
		private readonly log: LogService,
	) {
		this.disposables.add(owner.onDidEnd(({entry, state, answer, failure}) => {
			const handed = this.handed.get(entry.shardKey);
			if (handed) {
				const {service, index} = handed;
				this.tell(handed, {
					service, index, requestId: entry.requestId, callId: entry.callId!, state, answer, failure,
				});
			}
		}));
	}

	/** Hands over shards of a service; those that can't be transferred stay here. Resolves when the table names the successors. */
	async handOver(service: string, moves: ShardMoves, signal: AbortSignal): Promise<void> {
		const handOverId = randomUUID();
		const given = new Map<number, Member>();
		for (const index of moves.keys()) {
			this.holdings.beginLeaving(service, index);
		}

		for (const [index, successor] of moves) {
			const giving = this.give(handOverId, service, index, successor);
			this.handed.set(shardKey(service, index), {
				service, index, successor, given: giving,
			});
			if (await giving) {
				given.set(index, successor);
			} else {
				// The table has not been changed, so this node still owns the shard.
				this.handed.delete(shardKey(service, index));
				this.holdings.endLeaving(service, index);
			}
		}

		if (given.size > 0) {
			await this.swap(service, handOverId, given, signal);
		}
	}

	/** Resolves when the outcomes of the executions that have ended have been sent. */
	async whenTold(): Promise<void> {
		await Promise.all(this.tellings);
	}

	/** Forwards the outcome of an execution that an earlier owner started to the successor, if this node handed the shard over. */
	passOn(params: ResolveParams): void {
		const handed = this.handed.get(shardKey(params.service, params.index));
		if (handed) {
			this.tell(handed, params);
		}
	}

	/** To be called when this node owns the shard again. */
	noteBack(key: string): void {
		this.handed.delete(key);
	}

	dispose(): void {
		this.disposables.dispose();
	}

	/** Sends the complete state of a shard; false if the successor did not accept all of it. */
	private async give(handOverId: string, service: string, index: number, successor: Member): Promise<boolean> {
		const key = shardKey(service, index);
		const entries = this.owner.carry(key);
		let counts = this.owner.counts.ofShard(key);
		for (const chunk of chunksOf(entries)) {
			const params = {
				handOverId, service, index, entries: chunk, counts,
			};
			if (!await this.giveChunk(successor, params)) {
				return false;
			}

			counts = [];
		}

		return true;
	}

	private async giveChunk(successor: Member, params: TakeShardParams): Promise<boolean> {
		try {
			const reply = await this.peers.call(successor, takeShardMethod, params, {timeoutMs: callTimeoutMs});
			return reply.isTaken;
		} catch (error) {
			assertForeseen(error);
			return false;
		}
	}

	/** Repeats the swap until the table names the successors, also if the result of a swap was lost. */
	private async swap(service: string, handOverId: string, given: ShardMoves, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const table = await this.readTable(service, signal);
			const isOver = table && [...given.keys()].every(index => !this.holdings.isMine(table.shards[index]));
			if (isOver) {
				this.log.info('shards handed over', {service, count: given.size});
				return;
			}

			const swapped = table && await this.trySwap(table, handOverId, given, signal);
			if (!swapped) {
				await pause(retryPauseMs);
			}
		}
	}

	private async readTable(service: string, signal: AbortSignal): Promise<ShardTable | undefined> {
		try {
			return await this.directory.read(service, signal);
		} catch (error) {
			assertForeseen(error);
			return undefined;
		}
	}

	private async trySwap(table: ShardTable, handOverId: string, given: ShardMoves, signal: AbortSignal): Promise<boolean> {
		const shards = table.shards.map((shard, index): Shard => {
			const successor = this.holdings.isMine(shard) ? given.get(index) : undefined;
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
			assertForeseen(error);
			return false;
		}
	}

	private tell(handed: HandedShard, params: ResolveParams): void {
		const telling = this.tellRepeatedly(handed, params);
		this.tellings.add(telling);
		void this.forgetTelling(telling);
	}

	private async forgetTelling(telling: Promise<void>): Promise<void> {
		await telling;
		this.tellings.delete(telling);
	}

	private async tellRepeatedly({given, successor}: HandedShard, params: ResolveParams): Promise<void> {
		if (!await given) {
			return;
		}

		for (let tries = 0; tries < resolveTries; tries++) {
			try {
				await this.peers.call(successor, resolveMethod, params, {timeoutMs: callTimeoutMs});
				return;
			} catch (error) {
				assertForeseen(error);
				await pause(retryPauseMs);
			}
		}
	}
}

function chunksOf(entries: readonly CarriedEntry[]): ReadonlyArray<readonly CarriedEntry[]> {
	const chunks = [entries.slice(0, chunkEntries)];
	for (let start = chunkEntries; start < entries.length; start += chunkEntries) {
		chunks.push(entries.slice(start, start + chunkEntries));
	}

	return chunks;
}

function assertForeseen(error: unknown): void {
	if (!(error instanceof KumquatlineError)) {
		throw error;
	}
}
