import {z} from 'zod';

const maxPointerLength = 1024;
/** The JSON Patch library skips these tokens, so a pointer that has one would refer to a different value. */
const skippedTokens = new Set(['__proto__', 'constructor', 'prototype']);

const pointer = z.string()
	.startsWith('/', 'is not a JSON Pointer to a part of the policy')
	.max(maxPointerLength)
	.refine(text => !text.split('/').some(token => skippedTokens.has(token)), 'does not refer to a part of a policy');

/** One operation of a JSON Patch (RFC 6902). */
export const patchOperation = z.discriminatedUnion('op', [
	z.strictObject({op: z.literal('add'), path: pointer, value: z.json()}),
	z.strictObject({op: z.literal('remove'), path: pointer}),
	z.strictObject({op: z.literal('replace'), path: pointer, value: z.json()}),
	z.strictObject({op: z.literal('move'), from: pointer, path: pointer}),
	z.strictObject({op: z.literal('copy'), from: pointer, path: pointer}),
	z.strictObject({op: z.literal('test'), path: pointer, value: z.json()}),
]);
