import {z} from 'zod';

/** What callers may send at a node's outbound address and how long they may take. */
export const limitsDocument = z.object({
	maxHeaderBytes: z.number().int().min(1),
	maxBodyBytes: z.number().int().min(0),
	headerTimeoutMs: z.number().min(1),
	idleTimeoutMs: z.number().min(1),
});
