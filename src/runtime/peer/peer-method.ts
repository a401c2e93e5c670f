/** Name of a method between nodes, with the types of its parameters and result. */
export class PeerMethod<P, R> {
	/** These properties only carry types and never have values. */
	declare readonly params: P;
	declare readonly result: R;

	constructor(readonly name: string) {}
}
