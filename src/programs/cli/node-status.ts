import {z} from 'zod';

const member = z.looseObject({
	nodeId: z.string(),
	incarnation: z.string(),
	availabilityZone: z.string(),
	region: z.string(),
	address: z.string(),
	callerPort: z.number(),
	state: z.string(),
	service: z.string().optional(),
	slots: z.number(),
	policyVersion: z.number(),
});

/** The parts of GET /kumquatline/status that most commands read. */
export const nodeStatus = z.looseObject({
	self: member,
	policyVersion: z.number(),
	storeReachable: z.boolean(),
	members: z.array(member),
});
