/** Results of one run or of several runs. */
export type ProofReport = {
	readonly schedules: number;
	readonly faultsByKind: Readonly<Record<string, number>>;
	readonly ids: number;
	readonly executions: number;
	readonly refusalsByKind: Readonly<Record<string, number>>;
	readonly unknowns: number;
	/** Unknown outcomes of ids that no fault can have affected. */
	readonly unexplainedUnknowns: number;
	/** Additional counts of a proof, by name. */
	readonly outcomes?: Readonly<Record<string, number>>;
	/** Description of each violation. */
	readonly violations: readonly string[];
};
