/** Services of a chain of four with a fan-out: the entry calls the second and the third, the second the third, the third the last. */
export type ChainServices = {
	readonly entry: string;
	readonly second: string;
	readonly third: string;
	readonly last: string;
};
