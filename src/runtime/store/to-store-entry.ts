import {Buffer} from 'node:buffer';
import {type z} from 'zod';
import {type etcdMessages} from './etcd-messages.js';
import {type StoreEntry} from './store-entry.js';

type EtcdKeyValue = z.infer<typeof etcdMessages.range>['kvs'][number];

/** Reads a key as the etcd gateway writes it. */
export function toStoreEntry({key, value, mod_revision: modRevision, lease}: EtcdKeyValue): StoreEntry {
	return {
		key: Buffer.from(key, 'base64').toString(),
		value: Buffer.from(value, 'base64').toString(),
		modRevision: Number(modRevision),
		...(lease !== undefined && lease !== '0' && {leaseId: lease}),
	};
}
