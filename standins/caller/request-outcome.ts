/** How a request of the caller stand-in ended. */
export enum RequestOutcome {
	/** The complete and correct answer arrived before the request timed out. */
	Complete = 'whole',
	/** The last attempt was refused. */
	Refused = 'refused',
	/** The last attempt failed for another reason. */
	Failed = 'failed',
	/** The request or its last attempt timed out. */
	TimedOut = 'gave-up',
	/** The answer was incomplete or belonged to another request. */
	Wrong = 'wrong',
}
