/** Kinds of events in a history. */
export enum EventKind {
	/** A caller sent an attempt of a request id. */
	Sent = 'sent',
	/** A caller received a complete answer or a refusal. */
	Answered = 'answered',
	/** A caller's attempt failed or timed out without a complete answer. */
	Lost = 'lost',
	/** A backend server started an execution. */
	ExecutionStarted = 'began',
	/** A backend server ended an execution. */
	ExecutionEnded = 'ended',
	/** A fault started. */
	Fault = 'fault',
	/** A fault ended and its effects were undone. */
	Healed = 'healed',
}
