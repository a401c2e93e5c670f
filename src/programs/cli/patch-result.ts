import {z} from 'zod';

/** Answer of a node to an accepted change. */
export const patchResult = z.object({
	version: z.number(),
	repeated: z.boolean(),
});
