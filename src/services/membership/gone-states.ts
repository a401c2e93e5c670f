import {MemberState} from './member-state.js';

/** States of members that are no longer there. */
export const goneStates: ReadonlySet<MemberState> = new Set([MemberState.Dead, MemberState.Left]);
