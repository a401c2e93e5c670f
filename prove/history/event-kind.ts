/** What a history records. */
export enum EventKind {
	/** A caller sent an attempt of a request id. */
	Sent = 'sent',
	/** A caller received a whole answer or a refusal. */
	Answered = 'answered',
	/** A caller got nothing. */
	Lost = 'lost',
	/** A backend server began an execution. */
	Began = 'began',
	/** A backend server ended an execution. */
	Ended = 'ended',
	/** A fault began. */
	Fault = 'fault',
	/** What a fault touched is as before. */
	Healed = 'healed',
}
