import {z} from 'zod';

const pointer = z.string().startsWith('/', 'is not a JSON pointer to a part of the policy').max(1024);

/** One operation of a JSON Patch (RFC 6902). */
export const patchOperation = z.discriminatedUnion('op', [
	z.strictObject({op: z.literal('add'), path: pointer, value: z.json()}),
	z.strictObject({op: z.literal('remove'), path: pointer}),
	z.strictObject({op: z.literal('replace'), path: pointer, value: z.json()}),
	z.strictObject({op: z.literal('move'), from: pointer, path: pointer}),
	z.strictObject({op: z.literal('copy'), from: pointer, path: pointer}),
	z.strictObject({op: z.literal('test'), path: pointer, value: z.json()}),
]);
