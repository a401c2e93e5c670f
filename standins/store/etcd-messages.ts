import {Buffer} from 'node:buffer';
import {type StoredKey} from './store-state.js';

type EtcdKeyValue = {
	readonly key: string;
	readonly value: string;
	readonly create_revision: string;
	readonly mod_revision: string;
	readonly version: string;
	readonly lease?: string;
};

/** A key as the etcd v3 JSON gateway writes it: base64 bytes and 64-bit numbers as strings. */
export function toEtcdKeyValue(entry: StoredKey): EtcdKeyValue {
	return {
		key: Buffer.from(entry.key).toString('base64'),
		value: Buffer.from(entry.value).toString('base64'),
		create_revision: String(entry.createRevision),
		mod_revision: String(entry.modRevision),
		version: String(entry.version),
		...(entry.leaseId !== undefined && {lease: entry.leaseId}),
	};
}
