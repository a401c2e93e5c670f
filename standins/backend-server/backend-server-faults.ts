import {z} from 'zod';

const share = z.number().min(0).max(1);

/** Faults of the stand-in, set as a whole by `POST /stand-in/faults`. */
export const backendServerFaults = z.strictObject({
	/** Multiplies the service time. */
	slowFactor: z.number().min(0).default(1),
	/** Share of requests that run and are then answered with status 500. */
	failShare: share.default(0),
	/** Share of requests that are answered with status 503. */
	shedShare: share.default(0),
	/** Sheds after the work had its effect, without saying that it did not begin. */
	shedAfterBegin: z.boolean().default(false),
	/** Share of answers that are cut off half-way. */
	partialAnswer: share.default(0),
	/** Time added before each answer without taking a slot. */
	delayMs: z.number().min(0).default(0),
	/** The health endpoint says the opposite. */
	healthLies: z.boolean().default(false),
});
