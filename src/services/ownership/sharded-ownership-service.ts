import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {toDisposable} from '../../base/to-disposable.js';
import {LogService} from '../../runtime/log/log-service.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {StoreService} from '../../runtime/store/store-service.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallContext} from '../calls/call-context.js';
import {type CallRequest} from '../calls/call-request.js';
import {UpstreamService} from '../calls/upstream-service.js';
import {LeaseService} from '../membership/lease-service.js';
import {MemberState} from '../membership/member-state.js';
import {MembershipService} from '../membership/membership-service.js';
import {PolicyService} from '../policy/policy-service.js';
import {type HeldShard} from './held-shard.js';
import {ownMethod, type OwnParams} from './own-method.js';
import {ownerReplies} from './owner-replies.js';
import {type OwnerReply} from './owner-reply.js';
import {createLocalShard} from './create-local-shard.js';
import {OwnerClient} from './owner-client.js';
import {type OwnershipService, type ShardSummary} from './ownership-service.js';
import {parseReservedId} from './parse-reserved-id.js';
import {ShutdownHandOver} from './shutdown-hand-over.js';
import {RequestOwner} from './request-owner.js';
import {ReservedIds} from './reserved-ids.js';
import {resolveMethod, type ResolveParams} from './resolve-method.js';
import {settledOrAborted} from './settled-or-aborted.js';
import {IncomingTransfers} from './incoming-transfers.js';
import {ShardDirectory} from './shard-directory.js';
import {ShardHandOver} from './shard-hand-over.js';
import {HeldShards} from './held-shards.js';
import {shardIndex} from './shard-index.js';
import {ShardTableMaintainer} from './shard-table-maintainer.js';
import {type ShardTable} from './shard-table.js';
import {type Shard} from './shard.js';
import {takeShardMethod} from './take-shard-method.js';

const maintenanceIntervalMs = 1000;
/** How many times this node tries to decide about a call itself while hand-overs start and end. */
const maxDecisionRounds = 3;

/** Shards of the ids that this incarnation reserved, and of the root ids that it minted: it owns them as long as it runs. */
const reservedShard = createLocalShard('reserved');
const mintedShard = createLocalShard('minted');

/** Ownership by shards: a table in the store names each shard's owner, which is authoritative only under its lease. */
export class ShardedOwnershipService implements OwnershipService, Disposable {
	private readonly disposables = new DisposableStore();
	private readonly directory: ShardDirectory;
	private readonly heldShards: HeldShards;
	private readonly tableMaintainer: ShardTableMaintainer;
	private readonly handOvers: ShardHandOver;
	private readonly shutdownHandOver: ShutdownHandOver;
	private readonly client: OwnerClient;
	private readonly incomingTransfers = new IncomingTransfers();
	private readonly owner: RequestOwner;
	private readonly reservedIds: ReservedIds;
	private readonly lifetime = new AbortController();
	private maintenance: Promise<void> | undefined;
	private isLeaving = false;

	constructor(
		@SettingsService settings: SettingsService,
		@PolicyService private readonly policy: PolicyService,
		@LeaseService private readonly lease: LeaseService,
		@MembershipService private readonly membership: MembershipService,
		@PeerService private readonly peers: PeerService,
		@StoreService private readonly store: StoreService,
		@UpstreamService upstreams: UpstreamService,
		@LogService log: LogService,
	) {
		this.reservedIds = new ReservedIds(settings.incarnation);
		this.directory = this.disposables.add(new ShardDirectory(store, peers, membership));
		this.heldShards = new HeldShards(settings, policy, lease);
		this.owner = new RequestOwner(settings, policy, upstreams);
		this.handOvers = this.disposables.add(new ShardHandOver(this.directory, this.heldShards, this.owner, peers, log));
		this.shutdownHandOver = new ShutdownHandOver(this.directory, this.heldShards, this.incomingTransfers, this.handOvers, membership);
		this.client = new OwnerClient(this.directory, membership, peers);
		this.tableMaintainer = new ShardTableMaintainer(this.directory, this.heldShards, this.handOvers, settings, policy, lease, membership, log);
	}

	get shards(): readonly ShardSummary[] {
		return this.directory.all.map(({service, modRevision, shards}) => {
			const shardsByNodeId: Record<string, number> = {};
			for (const {nodeId} of shards) {
				shardsByNodeId[nodeId] = (shardsByNodeId[nodeId] ?? 0) + 1;
			}

			return {service, version: modRevision, shardsByNodeId};
		});
	}

	async start(): Promise<void> {
		this.directory.listen();
		this.disposables.add(this.directory.onDidChange(table => {
			this.applyTable(table);
		}));
		this.handlePeers();
		this.disposables.add(this.store.onDidChangeReachability(isReachable => {
			if (isReachable) {
				this.tableMaintainer.recordStoreReachable();
			}
		}));
		this.disposables.add(this.membership.onDidChange(() => {
			void this.maintain();
		}));
		this.disposables.add(this.lease.onDidGrant(() => {
			void this.maintain();
		}));
		const timer = setInterval(() => {
			void this.maintain();
		}, maintenanceIntervalMs);
		this.disposables.add(toDisposable(() => {
			clearInterval(timer);
		}));
		await this.maintain();
	}

	async run(request: CallRequest, signal: AbortSignal): Promise<CallAnswer> {
		return this.client.run(request, signal);
	}

	ownerOf(service: string, requestId: string): PeerAddress | undefined {
		return this.client.ownerOf(service, requestId);
	}

	async findOwner(service: string, requestId: string): Promise<PeerAddress | undefined> {
		return this.client.findOwner(service, requestId);
	}

	isOwner(service: string, requestId: string): boolean {
		const heldShard = this.heldShardOf(service, requestId);
		return heldShard !== undefined && heldShard.isAuthoritative() && !heldShard.mayHaveExecuted(requestId);
	}

	drawRetry({rootId, rootService, rootOwner, caller}: CallContext, isAttempt: boolean): boolean {
		const heldShard = rootOwner ? this.mintedShardOf(rootOwner) : this.heldShardOf(rootService ?? '', rootId);
		if (!heldShard?.isAuthoritative()) {
			return false;
		}

		if (heldShard.mayHaveExecuted(rootId)) {
			return false;
		}

		const total = this.policy.current.callers.find(({name}) => name === caller)?.retryTotal ?? 0;
		const {counts} = this.owner;
		return isAttempt ? counts.admitAttempt(heldShard.key, rootId, total) : counts.draw(heldShard.key, rootId, total);
	}

	reserve(count: number): readonly string[] {
		return Array.from({length: count}, () => this.reservedIds.mint());
	}

	async handOver(signal: AbortSignal): Promise<void> {
		this.isLeaving = true;
		await this.maintenance;
		await this.shutdownHandOver.handOverAll(signal);
		await settledOrAborted(this.owner.whenIdle(), signal);
		await settledOrAborted(this.handOvers.whenOutcomesDelivered(), signal);
	}

	dispose(): void {
		this.lifetime.abort();
		this.disposables.dispose();
	}

	private get acceptsShards(): boolean {
		return !this.isLeaving && this.lease.isHeld() && this.membership.self.state === MemberState.Serving;
	}

	private handlePeers(): void {
		this.disposables.add(this.peers.handle(ownMethod, async (params, call) => this.own(params, call.signal)));
		this.disposables.add(this.peers.handle(takeShardMethod, async params => ({
			isTaken: this.acceptsShards && this.incomingTransfers.add(params),
		})));
		this.disposables.add(this.peers.handle(resolveMethod, async params => {
			this.resolve(params);
			return {};
		}));
	}

	private resolve(params: ResolveParams): void {
		this.incomingTransfers.resolve(params);
		this.handOvers.forwardOutcome(params);
		const heldShard = this.heldShards.get(params.service, params.index);
		if (heldShard) {
			this.owner.resolve(heldShard, params);
		}
	}

	private applyTable(table: ShardTable): void {
		const {lost, gained} = this.heldShards.update(table);
		for (const key of lost) {
			this.owner.drop(key);
		}

		for (const {index, key, shard} of gained) {
			this.handOvers.recordRegained(key);
			this.importTransfer(table.service, index, key, shard);
		}
	}

	/** Imports the state of a shard that a previous owner transferred; without it, its history is lost. */
	private importTransfer(service: string, index: number, key: string, shard: Shard): void {
		if (shard.handOverId === undefined) {
			return;
		}

		const transfer = this.incomingTransfers.take(shard.handOverId, service, index);
		if (!transfer || !this.owner.importShard(key, transfer.entries, transfer.counts)) {
			this.heldShards.markHistoryLost(key);
		}
	}

	/** Performs a round of shard table maintenance; only one is in progress at a time. */
	private async maintain(): Promise<void> {
		if (!this.isLeaving) {
			this.maintenance ??= this.maintainOnce();
			await this.maintenance;
		}
	}

	private async maintainOnce(): Promise<void> {
		try {
			await this.tableMaintainer.maintain(this.lifetime.signal);
		} finally {
			this.maintenance = undefined;
		}
	}

	/** The shard of an id if this node owns it; ids that this incarnation reserved have a shard of their own. */
	private heldShardOf(service: string, requestId: string): HeldShard | undefined {
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.reservedIds.isGenuine(reserved) ? reservedShard : undefined;
		}

		const table = this.directory.known(service);
		return table && this.heldShards.get(service, shardIndex(service, requestId, table.shards.length));
	}

	private mintedShardOf({nodeId, incarnation}: {readonly nodeId: string; readonly incarnation: string}): HeldShard | undefined {
		const {self} = this.peers;
		return nodeId === self.nodeId && incarnation === self.incarnation ? mintedShard : undefined;
	}

	/** Decides about a call as its owner, after the end of a hand-over in progress. */
	private async own({request, modRevision, forwarded}: OwnParams, signal: AbortSignal): Promise<OwnerReply> {
		const {service, requestId} = request;
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.reservedIds.isGenuine(reserved) ? this.owner.own(reservedShard, request, signal) : ownerReplies.forged;
		}

		const known = this.directory.known(service);
		const table = known && known.modRevision >= modRevision ? known : await this.directory.refresh(service);
		if (!table) {
			return {notOwner: true};
		}

		const index = shardIndex(service, requestId, table.shards.length);
		for (let round = 0; round < maxDecisionRounds; round++) {
			const heldShard = this.heldShards.get(service, index);
			const reply = heldShard && await this.owner.own(heldShard, request, signal);
			if (reply && !reply.notOwner) {
				return reply;
			}

			if (!heldShard) {
				break;
			}

			await settledOrAborted(heldShard.leaving, signal);
		}

		return forwarded ? {notOwner: true} : this.client.forward(request, modRevision, signal);
	}
}
