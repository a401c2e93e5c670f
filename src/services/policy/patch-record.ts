import {z} from 'zod';
import {patchOperation} from './patch-operation.js';

/** What a policy remembers of a patch that made one of its latest versions. */
export const patchRecord = z.strictObject({
	patchId: z.string().min(1).max(128),
	version: z.number().int().min(1),
	acceptedAtMs: z.number().int(),
	/** Digest of the patch as submitted, so that an id is not used for two. */
	digest: z.string(),
	/** From these a peer makes the version out of the one before; left out when they are large or old. */
	operations: z.array(patchOperation).optional(),
});
