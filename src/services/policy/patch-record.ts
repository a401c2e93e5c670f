import {z} from 'zod';
import {patchOperation} from './patch-operation.js';

/** An entry of a policy's history: a patch that created one of its recent versions. */
export const patchRecord = z.strictObject({
	patchId: z.string().min(1).max(128),
	version: z.number().int().min(1),
	acceptedAtMs: z.number().int(),
	/** Digest of the patch as submitted; detects a patch id that is used for two different patches. */
	digest: z.string(),
	/** A peer applies these to the previous version to get this one; omitted if they are large or old. */
	operations: z.array(patchOperation).optional(),
});
