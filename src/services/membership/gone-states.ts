import {MemberState} from './member-state.js';

/** States of members that have failed or left. */
export const goneStates: ReadonlySet<MemberState> = new Set([MemberState.Dead, MemberState.Left]);
