import {z} from 'zod';

const durationMs = z.number().min(0);

/** A route by host and path prefix, for requests to a node's outbound address. */
export const routeDocument = z.object({
	name: z.string(),
	host: z.string(),
	/** Starts and ends with a slash. */
	prefix: z.string(),
	idempotent: z.boolean(),
	/** Longest time that a caller waits for an answer. */
	timeoutMs: durationMs,
	/** An answer within this time has its full value for the caller. */
	objectiveMs: durationMs,
	/** 0 is the highest priority. */
	priority: z.number(),
	/** Maximum number of upstreams to which one request may be sent. */
	maxUpstreams: z.number().int().min(1),
	/** Services among which the route's requests are distributed in proportion to the weights. */
	targets: z.array(z.object({service: z.string(), weight: z.number().min(0)})).min(1),
});
