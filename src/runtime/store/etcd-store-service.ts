import {Buffer} from 'node:buffer';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {createRandom} from '../../base/create-random.js';
import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type Event} from '../../base/event.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {SettingsService} from '../settings/settings-service.js';
import {EtcdConnection} from './etcd-connection.js';
import {etcdMessages} from './etcd-messages.js';
import {EtcdWatch} from './etcd-watch.js';
import {prefixEnd} from './prefix-end.js';
import {type StoreEntry} from './store-entry.js';
import {
	type StoreChange, type StoreListing, type StoreService, type SwapResult,
} from './store-service.js';
import {toStoreEntry} from './to-store-entry.js';

const defaultCheckIntervalMs = 10_000;

const encode = (text: string): string => Buffer.from(text).toString('base64');

/** The key-value store over the etcd v3 JSON gateway. */
export class EtcdStoreService implements StoreService, Disposable {
	readonly onDidChangeReach: Event<boolean>;
	private readonly disposables = new DisposableStore();
	private readonly connection: EtcdConnection;
	private readonly random: RandomGenerator;

	constructor(@SettingsService private readonly settingsService: SettingsService) {
		const {storeUrls, probeAfterMs, abandonAfterMs, nodeId, seed} = settingsService.settings;
		this.connection = this.disposables.add(new EtcdConnection({urls: storeUrls, probeAfterMs, abandonAfterMs}));
		this.onDidChangeReach = this.connection.onDidChangeReach;
		this.random = createRandom(seed, `${nodeId}/store`);
	}

	get reachable(): boolean {
		return this.connection.reachable;
	}

	async get(key: string, signal?: AbortSignal): Promise<StoreEntry | undefined> {
		return this.getNewer(key, 0, signal);
	}

	async getNewer(key: string, knownModRevision: number, signal?: AbortSignal): Promise<StoreEntry | undefined> {
		const request = {key: encode(key), min_mod_revision: String(knownModRevision + 1)};
		const answer = await this.connection.call('/v3/kv/range', request, etcdMessages.range, {repeatable: true, signal});
		const keyValue = answer?.kvs[0];
		return keyValue && toStoreEntry(keyValue);
	}

	async list(prefix: string, signal?: AbortSignal): Promise<StoreListing> {
		const request = {key: encode(prefix), range_end: prefixEnd(prefix)};
		const answer = await this.connection.call('/v3/kv/range', request, etcdMessages.range, {repeatable: true, signal});
		return {
			entries: (answer?.kvs ?? []).map(keyValue => toStoreEntry(keyValue)),
			revision: Number(answer?.header.revision),
		};
	}

	async compareAndSwap(key: string, expectedModRevision: number, value: string, leaseId?: string, signal?: AbortSignal): Promise<SwapResult> {
		const put = {key: encode(key), value: encode(value), ...(leaseId !== undefined && {lease: leaseId})};
		const answer = await this.connection.call('/v3/kv/txn', {
			compare: [this.revisionIs(key, expectedModRevision)],
			success: [{request_put: put}],
			failure: [{request_range: {key: encode(key)}}],
		}, etcdMessages.txn, {repeatable: false, signal});
		if (!answer) {
			throw new KumquatlineError(ErrorKind.StoreUnavailable, `lease ${leaseId} does not exist`);
		}

		if (answer.succeeded) {
			return {swapped: true, modRevision: Number(answer.header.revision)};
		}

		const found = answer.responses[0]?.response_range?.kvs[0];
		const current = found && toStoreEntry(found);
		return {swapped: false, modRevision: current?.modRevision ?? 0, current};
	}

	async compareAndDelete(key: string, expectedModRevision: number, signal?: AbortSignal): Promise<boolean> {
		const answer = await this.connection.call('/v3/kv/txn', {
			compare: [this.revisionIs(key, expectedModRevision)],
			success: [{request_delete_range: {key: encode(key)}}],
		}, etcdMessages.txn, {repeatable: false, signal});
		return answer?.succeeded ?? false;
	}

	async grantLease(ttlMs: number, signal?: AbortSignal): Promise<string> {
		const request = {TTL: String(Math.ceil(ttlMs / 1000))};
		const answer = await this.connection.call('/v3/lease/grant', request, etcdMessages.leaseGrant, {repeatable: false, signal});
		if (!answer) {
			throw new KumquatlineError(ErrorKind.StoreUnavailable, 'the store granted no lease');
		}

		return answer.ID;
	}

	async renewLease(leaseId: string, signal?: AbortSignal): Promise<boolean> {
		const answer = await this.connection.call('/v3/lease/keepalive', {ID: leaseId}, etcdMessages.leaseKeepAlive, {repeatable: true, signal});
		return answer !== undefined && Number(answer.result.TTL) > 0;
	}

	async revokeLease(leaseId: string, signal?: AbortSignal): Promise<void> {
		await this.connection.call('/v3/lease/revoke', {ID: leaseId}, etcdMessages.leaseRevoke, {repeatable: true, signal});
	}

	watch(prefix: string, listener: (change: StoreChange) => void, checkIntervalMs = defaultCheckIntervalMs): Disposable {
		const {probeAfterMs} = this.settingsService.settings;
		const watch = this.disposables.add(new EtcdWatch(this.connection, this.random, {prefix, checkIntervalMs, openTimeoutMs: probeAfterMs}, listener));
		return {
			dispose: () => {
				this.disposables.release(watch);
			},
		};
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private revisionIs(key: string, modRevision: number): unknown {
		return {
			key: encode(key), target: 'MOD', result: 'EQUAL', mod_revision: String(modRevision),
		};
	}
}
