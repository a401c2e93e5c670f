/** Refusal rate of a service as it is forwarded to other nodes in replies. */
export type ForwardedRefusalRate = {
	readonly service: string;
	/** Fraction of the attempts that its backend servers refuse despite free capacity. */
	readonly rate: number;
	readonly ageMs: number;
};
