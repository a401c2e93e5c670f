import {type Member} from '../membership/member.js';
import {type MembershipService} from '../membership/membership-service.js';

/** The member that is this incarnation of a node; undefined if it is unknown or another incarnation has replaced it. */
export function findIncarnation(membership: MembershipService, run: {readonly nodeId: string; readonly incarnation: string}): Member | undefined {
	const member = membership.find(run.nodeId); // eslint-disable-line unicorn/no-array-callback-reference
	return member?.incarnation === run.incarnation ? member : undefined;
}
