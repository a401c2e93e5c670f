import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {fromWireError} from '../../base/from-wire-error.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toDisposable} from '../../base/to-disposable.js';
import {toWireError} from '../../base/to-wire-error.js';
import {LogService} from '../../platform/log/log-service.js';
import {type PeerAddress} from '../../platform/peer/peer-address.js';
import {PeerService} from '../../platform/peer/peer-service.js';
import {SettingsService} from '../../platform/settings/settings-service.js';
import {StoreService} from '../../platform/store/store-service.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallContext} from '../calls/call-context.js';
import {type CallRequest} from '../calls/call-request.js';
import {UpstreamService} from '../calls/upstream-service.js';
import {LeaseService} from '../membership/lease-service.js';
import {MemberState} from '../membership/member-state.js';
import {type Member} from '../membership/member.js';
import {MembershipService} from '../membership/membership-service.js';
import {PolicyService} from '../policy/policy-service.js';
import {findRun} from './find-run.js';
import {type HeldShard} from './held-shard.js';
import {ownMethod, type OwnParams} from './own-method.js';
import {type OwnReply} from './own-reply.js';
import {type OwnershipService, type ShardSummary} from './ownership-service.js';
import {parseReservedId} from './parse-reserved-id.js';
import {pause} from './pause.js';
import {reassignShards} from './reassign-shards.js';
import {RequestOwner} from './request-owner.js';
import {type ReservedId} from './reserved-id.js';
import {ReservedIds} from './reserved-ids.js';
import {resolveMethod, type ResolveParams} from './resolve-method.js';
import {ShardArrivals} from './shard-arrivals.js';
import {ShardDirectory} from './shard-directory.js';
import {ShardHandOver} from './shard-hand-over.js';
import {ShardHoldings} from './shard-holdings.js';
import {shardIndex} from './shard-index.js';
import {ShardKeeper} from './shard-keeper.js';
import {type ShardTable} from './shard-table.js';
import {type Shard} from './shard.js';
import {takeShardMethod} from './take-shard-method.js';

const keepIntervalMs = 1000;
const leaveRounds = 10;
const leavePauseMs = 200;
/** How often a call is put to this node's own decision while hand-overs begin and end. */
const ownRounds = 3;

/** Ownership by shards: a table in the store names each shard's owner, which holds its right under its lease. */
export class ShardedOwnershipService implements OwnershipService, Disposable {
	private readonly disposables = new DisposableStore();
	private readonly directory: ShardDirectory;
	private readonly holdings: ShardHoldings;
	private readonly keeper: ShardKeeper;
	private readonly handOvers: ShardHandOver;
	private readonly arrivals = new ShardArrivals();
	private readonly owner: RequestOwner;
	private readonly reservedIds: ReservedIds;
	private readonly lifetime = new AbortController();
	private keeping: Promise<void> | undefined;
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
		this.holdings = new ShardHoldings(settings, policy, lease);
		this.owner = new RequestOwner(settings, policy, upstreams);
		this.handOvers = this.disposables.add(new ShardHandOver(this.directory, this.holdings, this.owner, peers, log));
		this.keeper = new ShardKeeper(this.directory, this.holdings, this.handOvers, settings, policy, lease, membership, log);
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
			this.follow(table);
		}));
		this.handlePeers();
		this.disposables.add(this.store.onDidChangeReach(isReachable => {
			if (isReachable) {
				this.keeper.noteStoreBack();
			}
		}));
		this.disposables.add(this.membership.onDidChange(() => {
			void this.keep();
		}));
		this.disposables.add(this.lease.onDidGrant(() => {
			void this.keep();
		}));
		const timer = setInterval(() => {
			void this.keep();
		}, keepIntervalMs);
		this.disposables.add(toDisposable(() => {
			clearInterval(timer);
		}));
		await this.keep();
	}

	async run(request: CallRequest, signal: AbortSignal): Promise<CallAnswer> {
		const {service, requestId} = request;
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.runReserved(request, reserved, signal);
		}

		const table = await this.directory.find(service);
		const first = table && await this.askOwner(request, table, signal);
		if (first) {
			return unwrap(first);
		}

		const newer = await this.directory.refresh(service);
		const second = newer && await this.askOwner(request, newer, signal);
		if (second) {
			return unwrap(second);
		}

		throw ownerUnreachable(`no owner of ${requestId} can be reached`);
	}

	ownerOf(service: string, requestId: string): PeerAddress | undefined {
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.minterOf(reserved);
		}

		const table = this.directory.known(service);
		return table && this.ownerIn(table, requestId);
	}

	async findOwner(service: string, requestId: string): Promise<PeerAddress | undefined> {
		const owner = this.ownerOf(service, requestId);
		if (!owner && !parseReservedId(requestId)) {
			await this.directory.refresh(service);
		}

		return owner ?? this.ownerOf(service, requestId);
	}

	isOwner(service: string, requestId: string): boolean {
		const held = this.heldShardOf(service, requestId);
		return held !== undefined && held.mayAct() && !held.mayHaveRun(requestId);
	}

	drawRetry({rootId, rootService, rootOwner, caller}: CallContext, isAttempt: boolean): boolean {
		const held = rootOwner ? this.mintedShardOf(rootOwner) : this.heldShardOf(rootService ?? '', rootId);
		if (!held?.mayAct()) {
			return false;
		}

		if (held.mayHaveRun(rootId)) {
			return false;
		}

		const total = this.policy.current.callers.find(({name}) => name === caller)?.retryTotal ?? 0;
		const {counts} = this.owner;
		return isAttempt ? counts.enter(held.key, rootId, total) : counts.draw(held.key, rootId, total);
	}

	reserve(count: number): readonly string[] {
		return Array.from({length: count}, () => this.reservedIds.mint());
	}

	async handOver(signal: AbortSignal): Promise<void> {
		this.isLeaving = true;
		await this.keeping;
		// Others may be giving shards to this node just now: they are passed on as well.
		for (let round = 0; round < leaveRounds && !signal.aborted && this.hasShards; round++) {
			await this.handAllOver(signal);
			await pause(leavePauseMs);
		}

		await settledOrAborted(this.owner.whenIdle(), signal);
		await settledOrAborted(this.handOvers.whenTold(), signal);
	}

	dispose(): void {
		this.lifetime.abort();
		this.disposables.dispose();
	}

	private get takesShards(): boolean {
		return !this.isLeaving && this.lease.isHeld() && this.membership.self.state === MemberState.Serving;
	}

	private get hasShards(): boolean {
		return !this.arrivals.isEmpty || this.directory.all.some(({service}) => this.holdings.indexes(service).length > 0);
	}

	private successors(service: string): readonly Member[] {
		const {nodeId} = this.membership.self;
		return this.membership.upstreams(service).filter(member => member.nodeId !== nodeId);
	}

	private async handAllOver(signal: AbortSignal): Promise<void> {
		for (const {service, shards} of this.directory.all) {
			const successors = this.successors(service);
			const own = this.holdings.indexes(service);
			if (successors.length > 0 && own.length > 0) {
				const chosen = reassignShards(shards.map((shard, index) => own.includes(index) ? undefined : shard), successors);
				await this.handOvers.handOver(service, new Map(own.map((index, position) => [index, chosen[position]])), signal);
			}
		}
	}

	private handlePeers(): void {
		this.disposables.add(this.peers.handle(ownMethod, async (params, call) => this.own(params, call.signal)));
		this.disposables.add(this.peers.handle(takeShardMethod, async params => ({
			isTaken: this.takesShards && this.arrivals.add(params),
		})));
		this.disposables.add(this.peers.handle(resolveMethod, async params => {
			this.resolve(params);
			return {};
		}));
	}

	private resolve(params: ResolveParams): void {
		this.arrivals.resolve(params);
		this.handOvers.passOn(params);
		const held = this.holdings.get(params.service, params.index);
		if (held) {
			this.owner.resolve(held, params);
		}
	}

	private follow(table: ShardTable): void {
		const {lost, gained} = this.holdings.update(table);
		for (const key of lost) {
			this.owner.drop(key);
		}

		for (const {index, key, shard} of gained) {
			this.handOvers.noteBack(key);
			this.takeUp(table.service, index, key, shard);
		}
	}

	/** Takes up what a former owner gave of a shard; without it, its past is lost. */
	private takeUp(service: string, index: number, key: string, shard: Shard): void {
		if (shard.handOverId === undefined) {
			return;
		}

		const arrival = this.arrivals.take(shard.handOverId, service, index);
		if (!arrival || !this.owner.take(key, arrival.entries, arrival.counts)) {
			this.holdings.losePast(key);
		}
	}

	/** One round of keeping at a time. */
	private async keep(): Promise<void> {
		if (!this.isLeaving) {
			this.keeping ??= this.keepOnce();
			await this.keeping;
		}
	}

	private async keepOnce(): Promise<void> {
		try {
			await this.keeper.keep(this.lifetime.signal);
		} finally {
			this.keeping = undefined;
		}
	}

	/** The shard of an id if this node holds it, or the one of its reserved ids. */
	private heldShardOf(service: string, requestId: string): HeldShard | undefined {
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.reservedIds.isGenuine(reserved) ? reservedShard : undefined;
		}

		const table = this.directory.known(service);
		return table && this.holdings.get(service, shardIndex(service, requestId, table.shards.length));
	}

	private mintedShardOf({nodeId, incarnation}: {readonly nodeId: string; readonly incarnation: string}): HeldShard | undefined {
		const {self} = this.peers;
		return nodeId === self.nodeId && incarnation === self.incarnation ? mintedShard : undefined;
	}

	private minterOf({incarnation}: ReservedId): PeerAddress | undefined {
		return this.membership.members.find(member => member.incarnation === incarnation);
	}

	private async runReserved(request: CallRequest, reserved: ReservedId, signal: AbortSignal): Promise<CallAnswer> {
		const minter = this.minterOf(reserved);
		const reply = minter && await this.tryOwner(request, minter, {modRevision: 0}, signal);
		if (reply) {
			return unwrap(reply);
		}

		throw ownerUnreachable('the node that reserved the id can not be reached');
	}

	private async askOwner(request: CallRequest, table: ShardTable, signal: AbortSignal, forwarded?: true): Promise<OwnReply | undefined> {
		const owner = this.ownerIn(table, request.requestId);
		return owner && this.tryOwner(request, owner, {modRevision: table.modRevision, forwarded}, signal);
	}

	/** Asks the owner that a table names; undefined when it certainly started nothing and is not the owner or not there. */
	private async tryOwner(request: CallRequest, owner: PeerAddress, route: Omit<OwnParams, 'request'>, signal: AbortSignal): Promise<OwnReply | undefined> {
		const timeoutMs = request.context.deadlineAtMs - Date.now();
		if (timeoutMs <= 0) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the owner was asked', {execution: Execution.Unknown, started: false});
		}

		try {
			const reply = await this.peers.call(owner, ownMethod, {request, ...route}, {timeoutMs, signal});
			return reply.notOwner ? undefined : reply;
		} catch (error) {
			if (error instanceof KumquatlineError && neverSentKinds.has(error.kind)) {
				return undefined;
			}

			throw new KumquatlineError(ErrorKind.OutcomeUnknown, 'the owner was lost after the call was sent to it', {execution: Execution.Unknown, cause: error});
		}
	}

	private ownerIn(table: ShardTable, requestId: string): PeerAddress | undefined {
		const shard = table.shards[shardIndex(table.service, requestId, table.shards.length)];
		return findRun(this.membership, shard);
	}

	/** Decides about a call as its owner, once a hand-over in progress has ended. */
	private async own({request, modRevision, forwarded}: OwnParams, signal: AbortSignal): Promise<OwnReply> {
		const {service, requestId} = request;
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.reservedIds.isGenuine(reserved) ? this.owner.own(reservedShard, request, signal) : forgedReply;
		}

		const known = this.directory.known(service);
		const table = known && known.modRevision >= modRevision ? known : await this.directory.refresh(service);
		if (!table) {
			return {notOwner: true};
		}

		const index = shardIndex(service, requestId, table.shards.length);
		for (let round = 0; round < ownRounds; round++) {
			const held = this.holdings.get(service, index);
			const reply = held && await this.owner.own(held, request, signal);
			if (reply && !reply.notOwner) {
				return reply;
			}

			if (!held) {
				break;
			}

			await settledOrAborted(held.leaving, signal);
		}

		return forwarded ? {notOwner: true} : this.forward(request, modRevision, signal);
	}

	/** Sends a late arrival on to the owner that a newer table names. */
	private async forward(request: CallRequest, modRevision: number, signal: AbortSignal): Promise<OwnReply> {
		const table = this.directory.known(request.service);
		if (!table || table.modRevision <= modRevision) {
			return {notOwner: true};
		}

		try {
			return await this.askOwner(request, table, signal, true) ?? {notOwner: true};
		} catch (error) {
			return {failure: toWireError(error)};
		}
	}
}

async function settledOrAborted(promise: Promise<void> | undefined, signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	const aborted = new Deferred<void>();
	const listener = () => {
		aborted.resolve();
	};

	signal.addEventListener('abort', listener);
	await Promise.race([promise, aborted.promise]);
	signal.removeEventListener('abort', listener);
}

/** The ids that this run of the node reserved or minted: they are its own as long as it runs. */
const reservedShard = ownShard('reserved');
const mintedShard = ownShard('minted');

const forgedReply: OwnReply = {
	failure: {
		kind: ErrorKind.KeyInvalid, message: 'the id was not reserved here', execution: Execution.NotRun, started: false,
	},
};

function ownShard(key: string): HeldShard {
	return {
		key,
		leaving: undefined,
		mayAct: () => true,
		mayHaveRun: () => false,
	};
}

const neverSentKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.PeerUnreachable, ErrorKind.PeerChanged]);

function unwrap({answer, failure}: OwnReply): CallAnswer {
	if (answer) {
		return answer;
	}

	throw failure ? fromWireError(failure) : ownerUnreachable('the owner replied nothing');
}

function ownerUnreachable(message: string): KumquatlineError {
	return new KumquatlineError(ErrorKind.OwnerUnreachable, message, {execution: Execution.Unknown, started: false});
}
