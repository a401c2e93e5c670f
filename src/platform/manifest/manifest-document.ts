import {z} from 'zod';

const seconds = z.number().min(0);

const target = z.object({service: z.string(), weight: z.number().min(0)});

const route = z.object({
	name: z.string(),
	host: z.string(),
	prefix: z.string(),
	kind: z.enum(['idempotent', 'mutating']),
	timeoutS: seconds,
	/** Answers that take longer than this no longer have their full benefit. */
	goalS: seconds,
	/** Maximum number of upstreams to which a request may be sent; not a number of attempts. */
	attempts: z.number().int().min(1),
	/** 0 is the highest priority. */
	priority: z.number().default(Number.MAX_SAFE_INTEGER),
	service: z.string().optional(),
	split: z.array(target).optional(),
});

const service = z.object({
	name: z.string(),
	maxConns: z.number().int().min(1).optional(),
});

/** The parts of the operators' configuration that are used. */
export const manifestDocument = z.object({
	/** `r` followed by a number. */
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
