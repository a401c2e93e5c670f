/** Headers between a node and its backend server, in lower case. */
export enum BackendHeader {
	/** Names the running call; copied onto its sub-calls, and onto its answer where the backend server can. */
	Context = 'kumquatline-context',
	/** Time that is left for the call. */
	DeadlineMs = 'kumquatline-deadline-ms',
	RequestId = 'kumquatline-request-id',
	/** `no` on a 503 answer: the backend server certainly did not begin. */
	Started = 'kumquatline-started',
}
