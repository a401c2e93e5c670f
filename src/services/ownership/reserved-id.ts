/** A reserved id taken apart: `<uuidv7>.<incarnation>.<tag>`, with `~<digest>` added for its sub-calls. */
export type ReservedId = {
	/** The part that was minted, without what derivation added. */
	readonly minted: string;
	readonly uuid: string;
	/** Run of the node that minted the id and owns it. */
	readonly incarnation: string;
	/** Authenticates the rest; only the minter can check it. */
	readonly tag: string;
};
