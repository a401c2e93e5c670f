/** Parameters of a call as they travel, with the time that is left for it. */
export type WireCall = {
	/** Remaining time when the call was sent. */
	readonly timeoutMs: number;
	/** Sender's steady clock since the connection was opened; tells the receiver how long the bytes were held up. */
	readonly sentAtMs: number;
	readonly params: unknown;
};
