import {Buffer} from 'node:buffer';
import {type StoredKey, type StoreState} from './store-state.js';

type TxnRequest = {
	readonly expected?: ReadonlyArray<{readonly key: string; readonly rev: number}>;
	readonly writes?: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease?: number}>;
	readonly deletes?: readonly string[];
};

type StoreAnswer = {
	readonly status: number;
	readonly body?: unknown;
};

const maxTxnEntries = 32;
/** Maximum number of items in a page of a listing. */
const maxPageItems = 500;
const operatorPrefixes = ['op/', 'servers/'];

/** Answers the calls of the platform's store that complete immediately; a watch is answered by `events`. */
export class StoreRequests {
	constructor(private readonly state: StoreState) {}

	answer(method: string, path: string, query: URLSearchParams, body: unknown): StoreAnswer {
		const [call, id = ''] = path.split('/').slice(2);
		switch (`${method} ${call}`) {
			case 'GET kv-key': {
				return this.readKey(query.get('key') ?? '');
			}

			case 'GET kv-range': {
				return this.listPage(query.get('prefix') ?? '', query.get('after') ?? '');
			}

			case 'POST kv-txn': {
				return this.executeTransaction(body as TxnRequest);
			}

			case 'POST kv-lease': {
				const {ttlS} = body as {ttlS: number};
				return {status: 200, body: {lease: Number(this.state.grantLease(ttlS * 1000)), ttlS}};
			}

			case 'POST kv-keep': {
				const ttlMs = this.state.renewLease(id);
				return ttlMs === undefined ? {status: 404} : {status: 200, body: {ttlS: ttlMs / 1000}};
			}

			case 'DELETE kv-lease-end': {
				return {status: this.state.revokeLease(id) ? 200 : 404};
			}

			default: {
				return {status: 404};
			}
		}
	}

	/** Answers with the changes under a prefix after a revision, if any, or with status 410 if that history was discarded. */
	events(prefix: string, after: number): StoreAnswer | undefined {
		if (after < this.state.discardedRevision) {
			return {status: 410};
		}

		const events = this.state.changesSince(after + 1)
			.filter(({key}) => key.startsWith(prefix))
			.map(({key, entry, revision}) => entry ? toItem(entry) : {key, rev: revision, deleted: true});
		return events.length === 0 ? undefined : this.watchAnswer(events);
	}

	watchAnswer(events: readonly unknown[]): StoreAnswer {
		return {status: 200, body: {events, at: this.state.revision}};
	}

	private readKey(key: string): StoreAnswer {
		const entry = this.state.get(key);
		return entry ? {status: 200, body: {...toItem(entry), at: this.state.revision}} : {status: 404};
	}

	private listPage(prefix: string, after: string): StoreAnswer {
		const entries = this.state.list(prefix).filter(({key}) => key > after);
		const items = entries.slice(0, maxPageItems).map(entry => toItem(entry));
		return {status: 200, body: {items, hasMore: entries.length > maxPageItems, at: this.state.revision}};
	}

	private executeTransaction({expected = [], writes = [], deletes = []}: TxnRequest): StoreAnswer {
		if (expected.length + writes.length + deletes.length > maxTxnEntries) {
			return {status: 400};
		}

		const keys = [...writes.map(({key}) => key), ...deletes];
		if (keys.some(key => operatorPrefixes.some(prefix => key.startsWith(prefix)))) {
			return {status: 403};
		}

		if (!writes.every(({lease = 0}) => lease === 0 || this.state.hasLease(String(lease)))) {
			return {status: 404};
		}

		if (!expected.every(({key, rev}) => (this.state.get(key)?.modRevision ?? 0) === rev)) {
			const found = expected.map(({key}) => this.state.get(key)).filter(entry => entry !== undefined);
			return {status: 412, body: {items: found.map(entry => toItem(entry))}};
		}

		for (const {key, value, lease = 0} of writes) {
			this.state.put(key, Buffer.from(value, 'base64').toString(), lease === 0 ? undefined : String(lease));
		}

		for (const key of deletes) {
			this.state.delete(key);
		}

		return {status: 200, body: {rev: this.state.revision}};
	}
}

/** Converts a key to the format of the platform's store. */
function toItem(entry: StoredKey): Record<string, unknown> {
	return {
		key: entry.key,
		value: Buffer.from(entry.value).toString('base64'),
		rev: entry.modRevision,
		created: entry.createRevision,
		lease: Number(entry.leaseId ?? 0),
	};
}
