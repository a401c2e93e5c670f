import {z} from 'zod';
import {patchOperation} from './patch-operation.js';

const maxOperations = 1000;

/** A patch as operators submit it. */
export const policyPatchSchema = z.strictObject({
	patchId: z.string().regex(/^[\w\-.:]{1,128}$/v, 'must be 1 to 128 letters, digits, "_", "-", "." or ":"'),
	baseVersion: z.number().int().min(1),
	operations: z.array(patchOperation).min(1).max(maxOperations),
});
