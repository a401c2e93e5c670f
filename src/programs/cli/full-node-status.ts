import {z} from 'zod';
import {nodeStatus} from './node-status.js';

/** GET /kumquatline/status with the load and counters that `status` sums up. */
export const fullNodeStatus = nodeStatus.extend({
	admission: z.looseObject({
		inFlight: z.number(),
		limit: z.number(),
		queued: z.number(),
		queueWaitMs: z.number(),
		threshold: z.number(),
	}),
	metrics: z.looseObject({counters: z.record(z.string(), z.number())}),
});
