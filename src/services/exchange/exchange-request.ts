/** A request as it goes to the VM's own backend server. */
export type ExchangeRequest = {
	readonly requestId: string;
	readonly method: string;
	/** Path and query, as the caller sent them. */
	readonly target: string;
	/** Names and values in turn, those of single connections left out. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};
