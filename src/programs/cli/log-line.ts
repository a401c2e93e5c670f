import {z} from 'zod';

/** A line of a node's log about a request; all other fields are the inputs of the decision. */
export const logLine = z.looseObject({
	level: z.string(),
	/** Wall clock of the VM, in milliseconds since 1970. */
	time: z.number(),
	node: z.string(),
	availabilityZone: z.string(),
	message: z.string(),
	/** Id of the request. */
	id: z.string(),
});

export type LogLine = z.infer<typeof logLine>;
