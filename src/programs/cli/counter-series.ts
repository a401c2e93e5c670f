/** One counter of a node's status, its tags taken apart. */
export type CounterSeries = {
	readonly name: string;
	readonly tags: ReadonlyMap<string, string>;
	readonly value: number;
};
