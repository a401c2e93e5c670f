/** What one run, or several together, came to. */
export type ProofReport = {
	readonly schedules: number;
	readonly faultsByKind: Readonly<Record<string, number>>;
	readonly ids: number;
	readonly executions: number;
	readonly refusalsByKind: Readonly<Record<string, number>>;
	readonly unknowns: number;
	/** Unknown outcomes of ids that no fault could have touched. */
	readonly unexplainedUnknowns: number;
	/** Further counts of a proof, by what they count. */
	readonly outcomes?: Readonly<Record<string, number>>;
	/** Each broken promise in words. */
	readonly violations: readonly string[];
};
