/** State of a member as its peers see it. */
export enum MemberState {
	/** No backend server has announced itself yet; serves as an entry node only. */
	Joined = 'joined',
	Serving = 'serving',
	/** Leaving: takes no new work. */
	Draining = 'draining',
	/** Not heard from; may be dead. */
	Suspect = 'suspect',
	Dead = 'dead',
	/** Left by a planned stop. */
	Left = 'left',
}
