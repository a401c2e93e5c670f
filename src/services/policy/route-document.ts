import {z} from 'zod';

const durationMs = z.number().min(0);

/** A route by host and path prefix, for requests that reach a node at its outbound address. */
export const routeDocument = z.object({
	name: z.string(),
	host: z.string(),
	/** Begins and ends with a slash. */
	prefix: z.string(),
	idempotent: z.boolean(),
	/** The longest time that a caller is kept waiting. */
	timeoutMs: durationMs,
	/** An answer within this time has its full value. */
	objectiveMs: durationMs,
	/** Rank, 0 the highest. */
	priority: z.number(),
	/** Upstreams to which one request may be sent. */
	maxUpstreams: z.number().int().min(1),
	/** Services that share the route's requests in proportion to their weights. */
	targets: z.array(z.object({service: z.string(), weight: z.number().min(0)})).min(1),
});
