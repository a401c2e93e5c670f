/** A complete answer of a backend server. */
export type ExchangeAnswer = {
	readonly status: number;
	/** Alternating names and values, without hop-by-hop headers. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};
