import {z} from 'zod';
import {type GossipMessage} from './gossip-message.js';
import {GossipMessageKind} from './gossip-message-kind.js';
import {memberFields} from './member-fields.js';
import {MemberState} from './member-state.js';
import {type MemberUpdate} from './member-update.js';

const decoder = new TextDecoder();
const {
	name, optionalName, count, port,
} = memberFields;
const state = z.enum(MemberState);

const detailsTuple = z.tuple([
	name,
	port,
	port,
	port,
	name,
	name,
	optionalName,
	count,
	count,
	count,
]);

const updateTuple = z.tuple([name, name, count, state, detailsTuple.optional()]);

const messageTuple = z.tuple([
	z.enum(GossipMessageKind),
	count,
	name,
	name,
	count,
	count,
	count,
	optionalName,
	z.array(updateTuple),
]);

/** Decodes a datagram; returns undefined if it is malformed. */
export function decodeMessage(bytes: Uint8Array): GossipMessage | undefined {
	try {
		const result = messageTuple.safeParse(JSON.parse(decoder.decode(bytes)));
		return result.success ? toMessage(result.data) : undefined;
	} catch {
		return undefined;
	}
}

function toMessage(tuple: z.infer<typeof messageTuple>): GossipMessage {
	const [kind, sequence, nodeId, incarnation, revision, policyVersion, confirmationAgeMs, targetNodeId, updates] = tuple;
	return {
		kind,
		sequence,
		nodeId,
		incarnation,
		revision,
		policyVersion,
		confirmationAgeMs,
		targetNodeId,
		updates: updates.map(update => toUpdate(update)),
	};
}

function toUpdate([nodeId, incarnation, revision, memberState, details]: z.infer<typeof updateTuple>): MemberUpdate {
	const update = {
		nodeId, incarnation, revision, state: memberState,
	};
	if (!details) {
		return update;
	}

	const [address, peerPort, gossipPort, callerPort, availabilityZone, region, service, slots, connections, policyVersion] = details;
	return {
		...update,
		record: {
			...update,
			address,
			peerPort,
			gossipPort,
			callerPort,
			availabilityZone,
			region,
			service: service === '' ? undefined : service,
			slots,
			connections,
			policyVersion,
		},
	};
}
