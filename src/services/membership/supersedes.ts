import {type Member} from './member.js';
import {MemberState} from './member-state.js';

/** Which state wins between two records of one revision; only the member itself raises the revision (SWIM). */
const stateRanks: Readonly<Record<MemberState, number>> = {
	[MemberState.Joined]: 0,
	[MemberState.Serving]: 0,
	[MemberState.Draining]: 0,
	[MemberState.Suspect]: 1,
	[MemberState.Dead]: 2,
	[MemberState.Left]: 3,
};

/** Whether a record of a node replaces the one known: a newer run, a higher revision, then a graver state. */
export function supersedes(update: Member, known: Member): boolean {
	if (update.incarnation !== known.incarnation) {
		return update.incarnation > known.incarnation;
	}

	if (update.revision !== known.revision) {
		return update.revision > known.revision;
	}

	return stateRanks[update.state] > stateRanks[known.state];
}
