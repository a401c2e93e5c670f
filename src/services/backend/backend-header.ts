/** Headers exchanged between a node and its backend server, in lower case. */
export enum BackendHeader {
	/** Identifies the running call; the backend server copies it to its inner calls and, if it can, to its answer. */
	Context = 'kumquatline-context',
	/** Remaining time for the call. */
	DeadlineMs = 'kumquatline-deadline-ms',
	RequestId = 'kumquatline-request-id',
	/** `no` on a 503 answer: the backend server certainly did not start the execution. */
	Started = 'kumquatline-started',
}
