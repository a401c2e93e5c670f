/** One message between nodes. */
export type Frame = {
	readonly json: string;
	/** Bytes that belong to the message, such as a body; empty if there are none. */
	readonly attachment: Uint8Array;
};
