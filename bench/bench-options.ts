/** What a bench is told on its command line. */
export type BenchOptions = {
	readonly seed: number;
	/** Arguments that the bench reads itself. */
	readonly args: readonly string[];
};
