/** One kind of request that a caller stand-in sends. */
export type CallerOperation = {
	readonly name: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** Part of all requests, in relation to the other operations' shares. */
	readonly share: number;
	/** Name of the caller in the policy. */
	readonly caller: string;
};
