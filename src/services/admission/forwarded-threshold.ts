/** Threshold of another service, as forwarded in a reply. */
export type ForwardedThreshold = {
	readonly service: string;
	readonly threshold: number;
	/** Time since an upstream of the service reported it. */
	readonly ageMs: number;
};
