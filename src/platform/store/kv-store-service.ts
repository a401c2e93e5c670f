import {Buffer} from 'node:buffer';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type z} from 'zod';
import {createRandom} from '../../base/create-random.js';
import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type Event} from '../../base/event.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {type StoreEntry} from '../../runtime/store/store-entry.js';
import {
	type StoreChange, type StoreListing, type StoreService, type SwapResult,
} from '../../runtime/store/store-service.js';
import {type WatchOptions} from '../../runtime/store/watch-options.js';
import {type KvAnswer, KvConnection, type KvRequest} from './kv-connection.js';
import {kvMessages} from './kv-messages.js';
import {KvWatch} from './kv-watch.js';
import {toStoreEntry} from './to-store-entry.js';

const defaultCheckIntervalMs = 10_000;
const msPerSecond = 1000;

const okStatus = 200;
const notFoundStatus = 404;
const conflictStatus = 412;

type Write = {
	readonly writes: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease: number}>;
	readonly deletes: readonly string[];
};

/** Client of the platform's key-value store over its HTTP protocol. */
export class KvStoreService implements StoreService, Disposable {
	readonly onDidChangeReachability: Event<boolean>;
	private readonly disposables = new DisposableStore();
	private readonly connection: KvConnection;
	private readonly random: RandomGenerator;

	constructor(@SettingsService settingsService: SettingsService) {
		const {storeUrls, probeAfterMs, abandonAfterMs, nodeId, seed} = settingsService.settings;
		this.connection = this.disposables.add(new KvConnection({urls: storeUrls, probeAfterMs, abandonAfterMs}));
		this.onDidChangeReachability = this.connection.onDidChangeReachability;
		this.random = createRandom(seed, `${nodeId}/store`);
	}

	get reachable(): boolean {
		return this.connection.reachable;
	}

	async get(key: string, signal?: AbortSignal): Promise<StoreEntry | undefined> {
		return this.getNewer(key, 0, signal);
	}

	async getNewer(key: string, knownModRevision: number, signal?: AbortSignal): Promise<StoreEntry | undefined> {
		const answer = await this.read('/v1/kv-key', {key}, signal);
		if (answer.status === notFoundStatus) {
			return undefined;
		}

		const entry = toStoreEntry(parse(answer, kvMessages.item));
		return entry.modRevision > knownModRevision ? entry : undefined;
	}

	async list(prefix: string, signal?: AbortSignal): Promise<StoreListing> {
		const entries: StoreEntry[] = [];
		let revision: number | undefined;
		let after: string | undefined;
		for (;;) {
			const answer = await this.read('/v1/kv-range', {prefix, ...(after !== undefined && {after})}, signal);
			const page = parse(answer, kvMessages.list);
			entries.push(...page.items.map(item => toStoreEntry(item)));
			// Pages are not one snapshot: a watch must continue from the revision of the first page to miss no change.
			revision ??= page.at;
			after = page.items.at(-1)?.key;
			if (!page.hasMore || after === undefined) {
				return {entries, revision};
			}
		}
	}

	async compareAndSwap(key: string, expectedModRevision: number, value: string, leaseId?: string, signal?: AbortSignal): Promise<SwapResult> {
		const write = {key, value: Buffer.from(value).toString('base64'), lease: Number(leaseId ?? 0)};
		const answer = await this.change(key, expectedModRevision, {writes: [write], deletes: []}, signal);
		if (answer.status === notFoundStatus) {
			throw new KumquatlineError(ErrorKind.StoreUnavailable, `lease ${leaseId} does not exist`);
		}

		if (answer.status === conflictStatus) {
			const found = parse(answer, kvMessages.conflict).items.find(item => item.key === key && item.rev > 0);
			const current = found && toStoreEntry(found);
			return {swapped: false, modRevision: current?.modRevision ?? 0, current};
		}

		return {swapped: true, modRevision: parse(answer, kvMessages.swap).rev};
	}

	async compareAndDelete(key: string, expectedModRevision: number, signal?: AbortSignal): Promise<boolean> {
		const answer = await this.change(key, expectedModRevision, {writes: [], deletes: [key]}, signal);
		return answer.status === okStatus;
	}

	async grantLease(ttlMs: number, signal?: AbortSignal): Promise<string> {
		const request = {method: 'POST', path: '/v1/kv-lease', body: {ttlS: ttlMs / msPerSecond}} as const;
		const answer = await this.connection.call(request, {idempotent: false, signal});
		return String(parse(answer, kvMessages.lease).lease);
	}

	async renewLease(leaseId: string, signal?: AbortSignal): Promise<boolean> {
		const request = {method: 'POST', path: `/v1/kv-keep/${leaseId}`} as const;
		const answer = await this.connection.call(request, {idempotent: true, signal});
		return expectStatus(answer, [okStatus, notFoundStatus]) === okStatus;
	}

	async revokeLease(leaseId: string, signal?: AbortSignal): Promise<void> {
		const request = {method: 'DELETE', path: `/v1/kv-lease-end/${leaseId}`} as const;
		await this.connection.call(request, {idempotent: true, signal});
	}

	watch(prefix: string, listener: (change: StoreChange) => void, {checkIntervalMs = defaultCheckIntervalMs, collectMs = 0, known}: WatchOptions = {}): Disposable {
		const source = {
			list: async (signal: AbortSignal) => this.list(prefix, signal),
			poll: async (after: number, signal: AbortSignal) => this.poll(prefix, after, checkIntervalMs, signal),
		};
		const watch = this.disposables.add(new KvWatch(source, this.random, listener, {collectMs, known}));
		return {
			dispose: () => {
				this.disposables.release(watch);
			},
		};
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private async read(path: string, query: KvRequest['query'], signal?: AbortSignal): Promise<KvAnswer> {
		return this.connection.call({method: 'GET', path, query}, {idempotent: true, signal});
	}

	/** Waits for changes after a revision; undefined if the store has discarded that part of its history. */
	private async poll(prefix: string, after: number, maxWaitMs: number, signal: AbortSignal): Promise<z.infer<typeof kvMessages.watch> | undefined> {
		const request = {method: 'GET', path: '/v1/kv-watch', query: {prefix, after, maxWaitMs}} as const;
		const answer = await this.connection.call(request, {idempotent: true, longPollMs: maxWaitMs, signal});
		return answer.status === okStatus ? parse(answer, kvMessages.watch) : undefined;
	}

	private async change(key: string, expectedModRevision: number, write: Write, signal?: AbortSignal): Promise<KvAnswer> {
		const body = {expected: [{key, rev: expectedModRevision}], ...write};
		const answer = await this.connection.call({method: 'POST', path: '/v1/kv-txn', body}, {idempotent: false, signal});
		expectStatus(answer, [okStatus, conflictStatus, notFoundStatus]);
		return answer;
	}
}

function expectStatus({status}: KvAnswer, allowed: readonly number[]): number {
	if (!allowed.includes(status)) {
		throw new KumquatlineError(ErrorKind.StoreUnavailable, `the store answered with status ${status}`);
	}

	return status;
}

function parse<T extends z.ZodType>({status, json}: KvAnswer, answerType: T): z.infer<T> {
	const parsed = answerType.safeParse(json);
	if (!parsed.success) {
		throw new KumquatlineError(ErrorKind.StoreUnavailable, `the store's answer with status ${status} is malformed`, {cause: parsed.error});
	}

	return parsed.data;
}
