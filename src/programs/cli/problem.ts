import {z} from 'zod';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';

/** Answer of a node that refuses a request or fails. */
export const problem = z.object({
	kind: z.enum(ErrorKind),
	detail: z.string(),
	execution: z.enum(Execution).optional(),
	started: z.boolean().optional(),
});
