/** One run of a node and where it listens. */
export type PeerAddress = {
	readonly nodeId: string;
	readonly incarnation: string;
	readonly address: string;
	readonly peerPort: number;
};
