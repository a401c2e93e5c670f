/** A kind of request in a modelled graph. */
export type ModelRoute = {
	readonly name: string;
	readonly service: string;
	readonly workMs: number;
	/** Routes that each execution calls, one after the other. */
	readonly calls: readonly string[];
	readonly timeoutMs: number;
	readonly priority: number;
	readonly idempotent: boolean;
};
