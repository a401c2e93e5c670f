/** One encoded message between nodes. */
export type Frame = {
	readonly json: string;
	/** Byte arrays of the message, such as a body; empty if there are none. */
	readonly attachment: Uint8Array;
};
