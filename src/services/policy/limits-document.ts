import {z} from 'zod';

/** Size limits and timeouts for requests that callers send to a node's outbound address. */
export const limitsDocument = z.object({
	maxHeaderBytes: z.number().int().min(1),
	maxBodyBytes: z.number().int().min(0),
	headerTimeoutMs: z.number().min(1),
	idleTimeoutMs: z.number().min(1),
});
