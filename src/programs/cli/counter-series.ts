/** One counter of a node's status with its parsed tags. */
export type CounterSeries = {
	readonly name: string;
	readonly tags: ReadonlyMap<string, string>;
	readonly value: number;
};
