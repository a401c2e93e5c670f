import {z} from 'zod';
import {memberFields} from './member-fields.js';
import {MemberState} from './member-state.js';

const {
	name, optionalName, count, port,
} = memberFields;

/** Validates a member record read from the store or received from a peer. */
export const memberSchema = z.object({
	nodeId: name,
	incarnation: name,
	address: name,
	peerPort: port,
	gossipPort: port,
	callerPort: port,
	availabilityZone: name,
	region: name,
	state: z.enum(MemberState),
	service: optionalName.optional(),
	slots: count,
	connections: count,
	policyVersion: count,
	revision: count,
});

