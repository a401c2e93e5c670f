import {type Member} from './member.js';
import {MemberState} from './member-state.js';

/** Precedence of states between two records with the same revision; only the member itself raises its revision (SWIM). */
const statePrecedence: Readonly<Record<MemberState, number>> = {
	[MemberState.Joined]: 0,
	[MemberState.Serving]: 0,
	[MemberState.Draining]: 0,
	[MemberState.Suspect]: 1,
	[MemberState.Dead]: 2,
	[MemberState.Left]: 3,
};

/** Whether a record of a node replaces the known one; compares the incarnation, then the revision, then the precedence of the state. */
export function supersedes(update: Member, known: Member): boolean {
	if (update.incarnation !== known.incarnation) {
		return update.incarnation > known.incarnation;
	}

	if (update.revision !== known.revision) {
		return update.revision > known.revision;
	}

	return statePrecedence[update.state] > statePrecedence[known.state];
}
