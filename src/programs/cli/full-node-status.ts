import {z} from 'zod';
import {nodeStatus} from './node-status.js';

/** The parts of GET /kumquatline/status that the `status` command reads, with load and counters. */
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
