/** Which mechanism a run uses. */
export enum ProofVariant {
	Real = 'real',
	/** The mechanism is replaced by a naive one through the kernel; the check has to fail. */
	Naive = 'naive',
}
