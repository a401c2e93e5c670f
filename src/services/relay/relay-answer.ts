/** A complete answer as the caller receives it. */
export type RelayAnswer = {
	readonly status: number;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};
