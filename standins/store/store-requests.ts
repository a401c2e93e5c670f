import {Buffer} from 'node:buffer';
import {toEtcdKeyValue} from './etcd-messages.js';
import {type StoreState} from './store-state.js';

type RangeRequest = {
	key: string;
	range_end?: string;
	min_mod_revision?: string;
};

type TxnRequest = {
	compare?: Array<{key: string; target: string; mod_revision?: string; result?: string}>;
	success?: TxnOperation[];
	failure?: TxnOperation[];
};

type TxnOperation = {
	request_put?: {key: string; value?: string; lease?: string};
	request_delete_range?: {key: string};
	request_range?: RangeRequest;
};

const decode = (text: string): string => Buffer.from(text, 'base64').toString();

/** Answers the unary requests of the etcd v3 JSON gateway that the project uses; throws for what etcd refuses. */
export class StoreRequests {
	constructor(private readonly state: StoreState) {}

	answer(path: string, body: unknown): unknown {
		switch (path) {
			case '/v3/kv/range': {
				return {header: this.header(), ...this.range(body as RangeRequest)};
			}

			case '/v3/kv/txn': {
				return this.txn(body as TxnRequest);
			}

			case '/v3/lease/grant': {
				const ttlSeconds = Number((body as {TTL: string}).TTL);
				return {header: this.header(), ID: this.state.grantLease(ttlSeconds * 1000), TTL: String(ttlSeconds)};
			}

			case '/v3/lease/keepalive': {
				const {ID} = body as {ID: string};
				const ttlMs = this.state.renewLease(ID);
				return {result: {header: this.header(), ID, ...(ttlMs !== undefined && {TTL: String(ttlMs / 1000)})}};
			}

			case '/v3/lease/revoke': {
				if (!this.state.revokeLease((body as {ID: string}).ID)) {
					throw new Error('etcdserver: requested lease not found');
				}

				return {header: this.header()};
			}

			default: {
				throw new Error(`no such method: ${path}`);
			}
		}
	}

	header(): {revision: string} {
		return {revision: String(this.state.revision)};
	}

	private range(request: RangeRequest): Record<string, unknown> {
		const entries = this.state.range(decode(request.key), request.range_end && decode(request.range_end));
		const minModRevision = Number(request.min_mod_revision ?? 0);
		const kvs = entries
			.filter(entry => entry.modRevision >= minModRevision)
			.map(entry => toEtcdKeyValue(entry));
		return {...(kvs.length > 0 && {kvs}), ...(entries.length > 0 && {count: String(entries.length)})};
	}

	private txn(request: TxnRequest): unknown {
		const succeeded = (request.compare ?? []).every(compare => {
			if (compare.target !== 'MOD' || (compare.result ?? 'EQUAL') !== 'EQUAL') {
				throw new Error(`comparison not supported: ${JSON.stringify(compare)}`);
			}

			const modRevision = this.state.get(decode(compare.key))?.modRevision ?? 0;
			return modRevision === Number(compare.mod_revision ?? 0);
		});
		const operations = (succeeded ? request.success : request.failure) ?? [];
		const responses = operations.map(operation => this.operate(operation));
		return {header: this.header(), ...(succeeded && {succeeded}), ...(responses.length > 0 && {responses})};
	}

	private operate({request_put: put, request_delete_range: deletion, request_range: range}: TxnOperation): unknown {
		if (put) {
			const leaseId = put.lease === '0' ? undefined : put.lease;
			this.state.put(decode(put.key), decode(put.value ?? ''), leaseId);
			return {response_put: {header: this.header()}};
		}

		if (deletion) {
			const deleted = this.state.delete(decode(deletion.key));
			return {response_delete_range: {header: this.header(), ...(deleted && {deleted: '1'})}};
		}

		return {response_range: {header: this.header(), ...range && this.range(range)}};
	}
}
