/** One incarnation of a node and the address at which it listens for peers. */
export type PeerAddress = {
	readonly nodeId: string;
	readonly incarnation: string;
	readonly address: string;
	readonly peerPort: number;
};
