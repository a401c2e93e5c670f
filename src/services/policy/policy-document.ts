import {z} from 'zod';
import {Importance} from './importance.js';
import {limitsDocument} from './limits-document.js';
import {patchRecord} from './patch-record.js';
import {routeDocument} from './route-document.js';

const name = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v);
const durationMs = z.number().int().min(1).max(86_400_000);
const sizeBytes = z.number().int().min(0).max(1_048_576);

const operation = z.strictObject({
	name,
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
	/** Path with `:name` parameters. */
	path: z.string().startsWith('/'),
	service: name,
	importance: z.enum(Importance),
	idempotent: z.boolean(),
	timeoutMs: durationMs,
	/** Services that the operation calls in turn, deep ones included; used for early refusal. */
	calls: z.array(name).default([]),
});

const caller = z.strictObject({
	name,
	patienceMs: durationMs,
	/** Executions beyond the first that one request may cause, over the whole chain. */
	retryTotal: z.number().int().min(0).max(100),
});

const service = z.strictObject({
	name,
	shardCount: z.number().int().min(1).max(256).default(32),
});

/** The operators' declarations: one versioned document, accepted or refused whole. */
export const policyDocument = z.strictObject({
	version: z.number().int().min(1),
	services: z.array(service),
	operations: z.array(operation),
	callers: z.array(caller).min(1),
	/** Routes by host and prefix, where callers reach nodes at their outbound address. */
	routes: z.array(routeDocument).optional(),
	/** Bounds at the outbound address. */
	limits: limitsDocument.optional(),
	/** How long a caller may repeat an id. */
	retryHorizonMs: durationMs.default(600_000),
	/** Share of a node's fresh calls that its retries may reach. */
	retryShare: z.number().min(0).max(1).default(0.1),
	maxBodyBytes: sizeBytes.default(262_144),
	maxAnswerBytes: sizeBytes.default(1_048_576),
	/** Patches accepted of late, newest last. */
	recentPatches: z.array(patchRecord).default([]),
});
