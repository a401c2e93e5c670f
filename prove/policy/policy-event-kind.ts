/** Kinds of events in the history of a policy run. */
export enum PolicyEventKind {
	/** A version came into force at an incarnation of a node. */
	InForce = 'in-force',
	/** The policy key in the store was changed. */
	Stored = 'stored',
	/** A patch was reported to its operator as accepted. */
	Accepted = 'accepted',
	/** A patch was reported to its operator as rejected, whichever submission of it this was. */
	Rejected = 'refused',
	/** The outcome of a patch was reported to its operator as unknown. */
	Unknown = 'unknown',
	/** The version of a node after all faults have ended and the propagation bound has passed. */
	Settled = 'settled',
}
