import {type Member} from './member.js';
import {type MemberState} from './member-state.js';

/** What a datagram says of a member: a whole record, or a state about a record that receivers know. */
export type MemberUpdate = {
	readonly nodeId: string;
	readonly incarnation: string;
	readonly revision: number;
	readonly state: MemberState;
	readonly record?: Member;
};
