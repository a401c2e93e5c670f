/** Parameters of a call as they travel, with the time that is left for it. */
export type WireCall = {
	/** Remaining time when the call was sent. */
	readonly timeoutMs: number;
	/** Wall clock of the sender after which the call may not begin, however late its bytes arrive. */
	readonly deadlineAtMs: number;
	readonly params: unknown;
};
