/** The node and its incarnation at one end of a connection. */
export type PeerIdentity = {
	readonly nodeId: string;
	readonly incarnation: string;
};
