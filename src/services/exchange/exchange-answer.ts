/** A whole answer of a backend server. */
export type ExchangeAnswer = {
	readonly status: number;
	/** Names and values in turn, those of single connections left out. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};
