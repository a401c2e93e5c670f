/** Command line options of a benchmark. */
export type BenchOptions = {
	readonly seed: number;
	/** All arguments after the name; each benchmark reads its own flags from them. */
	readonly args: readonly string[];
};
