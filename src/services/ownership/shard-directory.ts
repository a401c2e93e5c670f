import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import {type Event} from '../../base/event.js';
import {type PeerService} from '../../runtime/peer/peer-service.js';
import {type StoreService} from '../../runtime/store/store-service.js';
import {type StoreEntry} from '../../runtime/store/store-entry.js';
import {type MembershipService} from '../membership/membership-service.js';
import {type Shard} from './shard.js';
import {shardListDocument} from './shard-list-document.js';
import {type ShardTable} from './shard-table.js';
import {tableMethod} from './table-method.js';

const keyPrefix = '/kumquatline/shards/';
const peerTimeoutMs = 500;
/** Number of peers that are asked at the same time when the store does not answer. */
const maxAskedPeers = 3;
/** Callers share a read that was started within this time. */
const refreshIntervalMs = 200;

type Refresh = {readonly startedAtMs: number; readonly result: Promise<ShardTable | undefined>};

/**
The shard tables that this node knows. They are kept in the store; the upstreams of a service watch its table,
other nodes read it when they need it, from the store or from the upstreams. The last known table stays in use.
*/
export class ShardDirectory implements Disposable {
	private readonly changes = new Emitter<ShardTable>();
	private readonly disposables = new DisposableStore();
	private readonly tables = new Map<string, ShardTable>();
	private readonly refreshes = new Map<string, Refresh>();
	private readonly watched = new Set<string>();

	constructor(
		private readonly store: StoreService,
		private readonly peers: PeerService,
		private readonly membership: MembershipService,
	) {}

	get onDidChange(): Event<ShardTable> {
		return this.changes.event;
	}

	get all(): readonly ShardTable[] {
		return [...this.tables.values()];
	}

	/** Starts to reply to peers that ask for tables. */
	listen(): void {
		this.disposables.add(this.peers.handle(tableMethod, async ({service}) => ({table: this.tables.get(service)})));
	}

	/** Starts to watch a service's table. */
	watch(service: string): void {
		if (this.watched.has(service)) {
			return;
		}

		this.watched.add(service);
		const key = keyPrefix + service;
		this.disposables.add(this.store.watch(key, change => {
			if (change.key === key && change.entry) {
				this.adoptEntry(service, change.entry);
			}
		}));
	}

	known(service: string): ShardTable | undefined {
		return this.tables.get(service);
	}

	/** The last known table, or else the first one that can be read. */
	async find(service: string): Promise<ShardTable | undefined> {
		return this.tables.get(service) ?? this.refresh(service);
	}

	/** Reads the table again, from the store or else from peers; returns the newest known table. */
	async refresh(service: string): Promise<ShardTable | undefined> {
		const last = this.refreshes.get(service);
		if (last && performance.now() - last.startedAtMs < refreshIntervalMs) {
			return last.result;
		}

		const result = this.readFromStoreOrPeers(service);
		this.refreshes.set(service, {startedAtMs: performance.now(), result});
		return result;
	}

	/** Reads the table from the store only; throws `store-unavailable`. */
	async read(service: string, signal?: AbortSignal): Promise<ShardTable | undefined> {
		const entry = await this.store.get(keyPrefix + service, signal);
		if (!entry) {
			return undefined;
		}

		this.adoptEntry(service, entry);
		return parseEntry(service, entry);
	}

	/**
	Replaces the table of revision `modRevision` (0: none yet); returns undefined if the table was changed before.
	Throws `store-unavailable` if the swap may or may not have taken effect.
	*/
	async swap(service: string, modRevision: number, shards: readonly Shard[], signal?: AbortSignal): Promise<ShardTable | undefined> {
		const result = await this.store.compareAndSwap(keyPrefix + service, modRevision, JSON.stringify(shards), undefined, signal);
		if (!result.swapped) {
			if (result.current) {
				this.adoptEntry(service, result.current);
			}

			return undefined;
		}

		const table = {service, modRevision: result.modRevision, shards};
		this.adopt(table);
		return table;
	}

	dispose(): void {
		this.changes.dispose();
		this.disposables.dispose();
	}

	private async readFromStoreOrPeers(service: string): Promise<ShardTable | undefined> {
		try {
			await this.read(service);
		} catch {
			await this.askPeers(service);
		}

		return this.tables.get(service);
	}

	private async askPeers(service: string): Promise<void> {
		const upstreams = this.membership.upstreams(service)
			.filter(member => member.nodeId !== this.membership.self.nodeId)
			.slice(0, maxAskedPeers);
		const replies = await Promise.allSettled(upstreams.map(async member =>
			this.peers.call(member, tableMethod, {service}, {timeoutMs: peerTimeoutMs})));
		for (const reply of replies) {
			if (reply.status === 'fulfilled' && reply.value.table) {
				this.adopt(reply.value.table);
			}
		}
	}

	private adoptEntry(service: string, entry: StoreEntry): void {
		this.adopt(parseEntry(service, entry));
	}

	private adopt(table: ShardTable): void {
		const {service, modRevision} = table;
		if (modRevision <= (this.tables.get(service)?.modRevision ?? 0)) {
			return;
		}

		this.tables.set(service, table);
		this.changes.fire(table);
	}
}

function parseEntry(service: string, entry: StoreEntry): ShardTable {
	const shards = shardListDocument.parse(JSON.parse(entry.value));
	return {service, modRevision: entry.modRevision, shards};
}
