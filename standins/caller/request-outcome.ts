/** How a request of the caller stand-in ended. */
export enum RequestOutcome {
	/** The whole and right answer came within the caller's patience. */
	Whole = 'whole',
	/** The last attempt was refused. */
	Refused = 'refused',
	/** The last attempt failed otherwise. */
	Failed = 'failed',
	/** The caller's patience ended first. */
	GaveUp = 'gave-up',
	/** An answer came that was not the one to this request, or not all of it. */
	Wrong = 'wrong',
}
