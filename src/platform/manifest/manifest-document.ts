import {z} from 'zod';

const seconds = z.number().min(0);

const target = z.object({service: z.string(), weight: z.number().min(0)});

const route = z.object({
	name: z.string(),
	host: z.string(),
	prefix: z.string(),
	kind: z.enum(['idempotent', 'mutating']),
	timeoutS: seconds,
	/** Time for the full benefit of an answer. */
	goalS: seconds,
	/** Upstreams to which one request may be sent, not tries. */
	attempts: z.number().int().min(1),
	/** Rank, 0 the highest. */
	priority: z.number().default(Number.MAX_SAFE_INTEGER),
	service: z.string().optional(),
	split: z.array(target).optional(),
});

const service = z.object({
	name: z.string(),
	maxConns: z.number().int().min(1).optional(),
});

/** The configuration that operators write, as far as it is used. */
export const manifestDocument = z.object({
	/** `r` and a number. */
	version: z.string().regex(/^r\d+$/v),
	routes: z.array(route),
	services: z.array(service),
	limits: z.object({
		maxHeaderBytes: z.number().int().min(1),
		maxBodyBytes: z.number().int().min(0),
		headerTimeoutS: seconds,
		idleTimeoutS: seconds,
	}),
});
