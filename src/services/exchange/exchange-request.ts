/** A request as sent to the VM's own backend server. */
export type ExchangeRequest = {
	readonly requestId: string;
	readonly method: string;
	/** Path and query string, as the caller sent them. */
	readonly target: string;
	/** Alternating names and values, without hop-by-hop headers. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};
