/** State of a member as seen by other nodes. */
export enum MemberState {
	/** No backend server is announced; the node accepts requests of callers, but is not an upstream. */
	Joined = 'joined',
	Serving = 'serving',
	/** The node is about to leave, or its backend server drains; accepts no new requests. */
	Draining = 'draining',
	/** Did not acknowledge a probe; may be dead. */
	Suspect = 'suspect',
	Dead = 'dead',
	/** Left in a planned shutdown. */
	Left = 'left',
}
