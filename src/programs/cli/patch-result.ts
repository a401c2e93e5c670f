import {z} from 'zod';

/** A node's answer to a change that was accepted. */
export const patchResult = z.object({
	version: z.number(),
	repeated: z.boolean(),
});
