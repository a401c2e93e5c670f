/** State of a request id at its owner. */
export enum EntryState {
	/** Nothing has been sent to an upstream. */
	Accepted = 'accepted',
	/** Sent to an upstream, which may execute it. */
	Dispatched = 'dispatched',
	Completed = 'completed',
	/** May have been executed; it is never executed again. */
	Unknown = 'unknown',
	/** Not executed; attempts that entered before the refusal are never executed. */
	Refused = 'refused',
}
