/** A parsed reserved id: `<uuidv7>.<incarnation>.<tag>`, with `~<digest>` appended for inner calls. */
export type ReservedId = {
	/** The id as it was minted, without the digest that the derivation appends. */
	readonly minted: string;
	readonly uuid: string;
	/** Incarnation of the node that minted the id and owns it. */
	readonly incarnation: string;
	/** Authenticates the rest; only the incarnation that minted the id can verify it. */
	readonly tag: string;
};
