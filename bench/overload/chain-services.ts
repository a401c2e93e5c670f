/** Four services in a chain with a fan-out: entry calls second and third, second calls third, third calls last. */
export type ChainServices = {
	readonly entry: string;
	readonly second: string;
	readonly third: string;
	readonly last: string;
};
