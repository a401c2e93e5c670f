import {type Member} from './member.js';
import {MemberState} from './member-state.js';

const statesWithoutRecord: ReadonlySet<MemberState> = new Set([MemberState.Suspect, MemberState.Dead, MemberState.Left]);

/** Encodes an update as a JSON array without property names. States that other nodes observe (suspect, dead, left) omit the record. */
export function encodeMemberUpdate(member: Member): string {
	const {nodeId, incarnation, revision, state} = member;
	if (statesWithoutRecord.has(state)) {
		return JSON.stringify([nodeId, incarnation, revision, state]);
	}

	const details = [
		member.address,
		member.peerPort,
		member.gossipPort,
		member.callerPort,
		member.availabilityZone,
		member.region,
		member.service ?? '',
		member.slots,
		member.connections,
		member.policyVersion,
	];
	return JSON.stringify([nodeId, incarnation, revision, state, details]);
}
