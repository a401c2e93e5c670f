import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {fromWireError} from '../../base/from-wire-error.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toDisposable} from '../../base/to-disposable.js';
import {LogService} from '../../platform/log/log-service.js';
import {type PeerAddress} from '../../platform/peer/peer-address.js';
import {PeerService} from '../../platform/peer/peer-service.js';
import {SettingsService} from '../../platform/settings/settings-service.js';
import {StoreService} from '../../platform/store/store-service.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {UpstreamService} from '../calls/upstream-service.js';
import {LeaseService} from '../membership/lease-service.js';
import {MembershipService} from '../membership/membership-service.js';
import {PolicyService} from '../policy/policy-service.js';
import {findRun} from './find-run.js';
import {ownMethod} from './own-method.js';
import {type OwnReply} from './own-reply.js';
import {type OwnershipService, type ShardSummary} from './ownership-service.js';
import {RequestOwner} from './request-owner.js';
import {ShardDirectory} from './shard-directory.js';
import {ShardHoldings} from './shard-holdings.js';
import {shardIndex} from './shard-index.js';
import {ShardKeeper} from './shard-keeper.js';
import {type ShardTable} from './shard-table.js';

const keepIntervalMs = 1000;

/** Ownership by shards: a table in the store names each shard's owner, which holds its right under its lease. */
export class ShardedOwnershipService implements OwnershipService, Disposable {
	private readonly disposables = new DisposableStore();
	private readonly directory: ShardDirectory;
	private readonly holdings: ShardHoldings;
	private readonly keeper: ShardKeeper;
	private readonly owner: RequestOwner;
	private readonly lifetime = new AbortController();
	private keeping: Promise<void> | undefined;

	constructor(
		@SettingsService settings: SettingsService,
		@PolicyService policy: PolicyService,
		@LeaseService private readonly lease: LeaseService,
		@MembershipService private readonly membership: MembershipService,
		@PeerService private readonly peers: PeerService,
		@StoreService private readonly store: StoreService,
		@UpstreamService upstreams: UpstreamService,
		@LogService log: LogService,
	) {
		this.directory = this.disposables.add(new ShardDirectory(store, peers, membership));
		this.holdings = new ShardHoldings(settings, policy, lease);
		this.keeper = new ShardKeeper(this.directory, this.holdings, settings, policy, lease, membership, log);
		this.owner = new RequestOwner(settings, policy, upstreams);
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
		this.disposables.add(this.peers.handle(ownMethod, async ({request, modRevision}, call) => this.own(request, modRevision, call.signal)));
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
		const first = await this.tryOwner(request, await this.directory.find(service), signal);
		if (first) {
			return unwrap(first);
		}

		const second = await this.tryOwner(request, await this.directory.refresh(service), signal);
		if (second) {
			return unwrap(second);
		}

		throw ownerUnreachable(`no owner of ${requestId} can be reached`);
	}

	ownerOf(service: string, requestId: string): PeerAddress | undefined {
		const table = this.directory.known(service);
		return table && this.ownerIn(table, requestId);
	}

	isOwner(service: string, requestId: string): boolean {
		const table = this.directory.known(service);
		const held = table && this.holdings.get(service, shardIndex(service, requestId, table.shards.length));
		return held !== undefined && held.mayAct() && !held.mayHaveRun(requestId);
	}

	reserve(): readonly string[] {
		return [];
	}

	async handOver(): Promise<void> {
		await this.keeping;
	}

	dispose(): void {
		this.lifetime.abort();
		this.disposables.dispose();
	}

	private follow(table: ShardTable): void {
		for (const key of this.holdings.update(table)) {
			for (const entry of this.owner.entries.ofShard(key)) {
				this.owner.entries.delete(entry);
			}
		}
	}

	/** One round of keeping at a time. */
	private async keep(): Promise<void> {
		this.keeping ??= this.keepOnce();
		await this.keeping;
	}

	private async keepOnce(): Promise<void> {
		try {
			await this.keeper.keep(this.lifetime.signal);
		} finally {
			this.keeping = undefined;
		}
	}

	/** Asks the owner that a table names; undefined when it certainly started nothing and is not the owner or not there. */
	private async tryOwner(request: CallRequest, table: ShardTable | undefined, signal: AbortSignal): Promise<OwnReply | undefined> {
		const owner = table && this.ownerIn(table, request.requestId);
		if (!owner) {
			return undefined;
		}

		const timeoutMs = request.context.deadlineAtMs - Date.now();
		if (timeoutMs <= 0) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the owner was asked', {execution: Execution.Unknown, started: false});
		}

		try {
			const reply = await this.peers.call(owner, ownMethod, {request, modRevision: table.modRevision}, {timeoutMs, signal});
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

	/** Decides about a call as its owner. */
	private async own(request: CallRequest, modRevision: number, signal: AbortSignal): Promise<OwnReply> {
		const {service, requestId} = request;
		const known = this.directory.known(service);
		const table = known && known.modRevision >= modRevision ? known : await this.directory.refresh(service);
		const held = table && this.holdings.get(service, shardIndex(service, requestId, table.shards.length));
		return held ? this.owner.own(held, request, signal) : {notOwner: true};
	}
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
