/** Headers exchanged between callers and nodes, in lower case. */
export enum CallerHeader {
	IdempotencyKey = 'idempotency-key',
	RequestId = 'kumquatline-request-id',
	Caller = 'kumquatline-caller',
	TimeoutMs = 'kumquatline-timeout-ms',
}
