/** A whole answer as the caller gets it. */
export type RelayAnswer = {
	readonly status: number;
	/** Names and values in turn. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};
