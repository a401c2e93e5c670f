import {z} from 'zod';

const header = z.object({revision: z.string()});

const keyValue = z.object({
	key: z.string(),
	value: z.string().default(''),
	mod_revision: z.string().default('0'),
	lease: z.string().optional(),
});

const range = z.object({
	header,
	kvs: z.array(keyValue).default([]),
	count: z.string().default('0'),
});

const txn = z.object({
	header,
	succeeded: z.boolean().default(false),
	responses: z.array(z.object({
		response_range: z.object({kvs: z.array(keyValue).default([])}).optional(),
	})).default([]),
});

const watch = z.object({
	result: z.object({
		header,
		created: z.boolean().default(false),
		canceled: z.boolean().default(false),
		events: z.array(z.object({
			type: z.enum(['PUT', 'DELETE']).default('PUT'),
			kv: keyValue,
		})).default([]),
	}),
});

/**
Answers of the etcd v3 JSON gateway, only the fields that are used; the gateway leaves out fields with default values.
Bytes are base64 and 64-bit numbers strings. Source: the published etcd API reference (rpc.proto, kv.proto).
*/
export const etcdMessages = {
	range,
	txn,
	watch,
	leaseGrant: z.object({ID: z.string()}),
	leaseKeepAlive: z.object({result: z.object({TTL: z.string().default('0')})}),
	leaseRevoke: z.object({header}),
	failure: z.object({code: z.number().default(0), message: z.string().default('')}),
};
