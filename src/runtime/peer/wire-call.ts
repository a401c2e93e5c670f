/** JSON-RPC parameters of a call: its own parameters and its times. */
export type WireCall = {
	/** Remaining time when the call was sent. */
	readonly timeoutMs: number;
	/** Time on the sender's monotonic clock since the connection was opened; the receiver estimates the call's lateness from it. */
	readonly sentAtMs: number;
	readonly params: unknown;
};
