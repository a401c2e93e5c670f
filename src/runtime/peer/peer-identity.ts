/** Which run of which node is at the other end of a connection. */
export type PeerIdentity = {
	readonly nodeId: string;
	readonly incarnation: string;
};
