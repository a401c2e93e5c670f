import {z} from 'zod';
import {MemberState} from './member-state.js';

const count = z.number().int().min(0);
const port = z.number().int().min(0).max(65_535);

/** Validates a member record read from the store or received from a peer. */
export const memberSchema = z.object({
	nodeId: z.string().min(1),
	incarnation: z.string().min(1),
	address: z.string().min(1),
	peerPort: port,
	gossipPort: port,
	callerPort: port,
	availabilityZone: z.string(),
	region: z.string(),
	state: z.enum(MemberState),
	service: z.string().optional(),
	slots: count,
	connections: count,
	policyVersion: count,
	revision: count,
});

