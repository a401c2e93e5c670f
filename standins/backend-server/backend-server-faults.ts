import {z} from 'zod';

const fraction = z.number().min(0).max(1);

/** Faults of the stand-in. `POST /stand-in/faults` sets all of them; fields that are left out get their default. */
export const backendServerFaults = z.strictObject({
	/** Multiplies the service time. */
	slowFactor: z.number().min(0).default(1),
	/** Fraction of requests that are executed and then answered with status 500. */
	failShare: fraction.default(0),
	/** Fraction of requests that are shed with status 503. */
	shedShare: fraction.default(0),
	/** Sheds after the execution took effect, without the header that says that it did not start. */
	shedAfterBegin: z.boolean().default(false),
	/** Fraction of answers that are cut off halfway. */
	partialAnswer: fraction.default(0),
	/** Delay added before each answer; not part of the self time. */
	delayMs: z.number().min(0).default(0),
	/** The health endpoint reports the opposite of the actual state. */
	healthLies: z.boolean().default(false),
});
