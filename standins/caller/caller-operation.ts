/** A kind of request that a caller stand-in sends. */
export type CallerOperation = {
	readonly name: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** How often the operation is chosen, relative to the weights of the others. */
	readonly weight: number;
	/** Name of the caller in the policy. */
	readonly caller: string;
};
