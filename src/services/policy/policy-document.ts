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
	/** Services that the operation calls, directly or indirectly; used for early refusal. */
	calls: z.array(name).default([]),
});

const caller = z.strictObject({
	name,
	patienceMs: durationMs,
	/** Executions beyond the first that one request may cause, over the whole chain of calls. */
	retryTotal: z.number().int().min(0).max(100),
});

const service = z.strictObject({
	name,
	shardCount: z.number().int().min(1).max(256).default(32),
});

/** The operators' declarations: one versioned document that is accepted or rejected as a whole. */
export const policyDocument = z.strictObject({
	version: z.number().int().min(1),
	services: z.array(service),
	operations: z.array(operation),
	callers: z.array(caller).min(1),
	/** Routes by host and path prefix, for callers that use the nodes' outbound address. */
	routes: z.array(routeDocument).optional(),
	/** Limits for requests to the outbound address. */
	limits: limitsDocument.optional(),
	/** How long a caller may retry a request under the same id. */
	retryHorizonMs: durationMs.default(600_000),
	/** Limit on a node's retries, as a fraction of its first attempts. */
	retryShare: z.number().min(0).max(1).default(0.1),
	maxBodyBytes: sizeBytes.default(262_144),
	maxAnswerBytes: sizeBytes.default(1_048_576),
	/** Recently accepted patches, newest last. */
	recentPatches: z.array(patchRecord).default([]),
});
