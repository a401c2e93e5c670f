import {Buffer} from 'node:buffer';
import {type StoreEntry} from '../../runtime/store/store-entry.js';

type KvItem = {
	readonly key: string;
	readonly value: string;
	readonly rev: number;
	readonly lease: number;
};

/** Converts an item of the platform's store to a store entry. */
export function toStoreEntry({key, value, rev, lease}: KvItem): StoreEntry {
	return {
		key,
		value: Buffer.from(value, 'base64').toString(),
		modRevision: rev,
		leaseId: lease === 0 ? undefined : String(lease),
	};
}
