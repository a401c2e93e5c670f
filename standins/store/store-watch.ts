import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Disposable} from '../../src/base/disposable.js';
import {toEtcdKeyValue} from './etcd-messages.js';
import {type StoredKey, type StoreState} from './store-state.js';

type WatchRequest = {
	create_request: {key: string; range_end?: string; start_revision?: string};
};

type Change = {readonly key: string; readonly entry?: StoredKey; readonly revision: number};

const decode = (text: string): string => Buffer.from(text, 'base64').toString();

/** One watch of the store stand-in: a stream of JSON objects, one a line, until the client leaves. */
export class StoreWatch implements Disposable {
	private readonly from: string;
	private readonly to: string | undefined;
	private readonly subscription: Disposable;
	private silent = false;

	constructor(
		state: StoreState,
		request: unknown,
		private readonly later: (action: () => void) => void,
		private readonly response: ServerResponse,
	) {
		const {key, range_end: rangeEnd, start_revision: startRevision} = (request as WatchRequest).create_request;
		this.from = decode(key);
		this.to = rangeEnd && decode(rangeEnd);
		response.writeHead(200, {'content-type': 'application/json'});
		this.send({result: {header: {revision: String(state.revision)}, created: true}});
		if (startRevision !== undefined) {
			for (const change of state.changesSince(Number(startRevision))) {
				this.report(change);
			}
		}

		this.subscription = state.onDidChange(change => {
			this.report(change);
		});
	}

	/** Delivers nothing more, without closing. */
	silence(): void {
		this.silent = true;
	}

	dispose(): void {
		this.subscription.dispose();
	}

	private report({key, entry, revision}: Change): void {
		const covered = this.to === undefined ? key === this.from : key >= this.from && key < this.to;
		if (!covered) {
			return;
		}

		const event = entry
			? {kv: toEtcdKeyValue(entry)}
			: {type: 'DELETE', kv: {key: Buffer.from(key).toString('base64'), mod_revision: String(revision)}};
		this.send({result: {header: {revision: String(revision)}, events: [event]}});
	}

	private send(message: unknown): void {
		this.later(() => {
			if (!this.silent) {
				this.response.write(JSON.stringify(message) + '\n');
			}
		});
	}
}
