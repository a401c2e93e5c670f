/** Mechanism that a run uses. */
export enum ProofVariant {
	Real = 'real',
	/** The kernel replaces the mechanism with a naive one; the check has to find violations. */
	Naive = 'naive',
}
