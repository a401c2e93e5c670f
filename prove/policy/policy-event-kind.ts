/** What the history of a policy run records. */
export enum PolicyEventKind {
	/** A version came into force at a run of a node. */
	InForce = 'in-force',
	/** The store's key was changed. */
	Stored = 'stored',
	/** An operator was told that a patch was accepted. */
	Accepted = 'accepted',
	/** An operator was told that a patch was not accepted, at any attempt. */
	Refused = 'refused',
	/** An operator was told that the outcome is unknown. */
	Unknown = 'unknown',
	/** The version of a node once all faults have ended and the bound has passed. */
	Settled = 'settled',
}
