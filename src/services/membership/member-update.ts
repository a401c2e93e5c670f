import {type Member} from './member.js';
import {type MemberState} from './member-state.js';

/** Update of a member in a datagram: a full record, or only a new state for a record that receivers know. */
export type MemberUpdate = {
	readonly nodeId: string;
	readonly incarnation: string;
	readonly revision: number;
	readonly state: MemberState;
	readonly record?: Member;
};
