/** How far the owner has come with a request id. */
export enum EntryState {
	/** Nothing has been sent to an upstream. */
	Accepted = 'accepted',
	/** Sent to an upstream; it may run. */
	Dispatched = 'dispatched',
	Completed = 'completed',
	/** May have run; it never runs again. */
	Unknown = 'unknown',
	/** Did not run; attempts from before the refusal never do. */
	Refused = 'refused',
}
