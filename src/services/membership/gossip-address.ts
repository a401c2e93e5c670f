/** Address at which a node receives datagrams. */
export type GossipAddress = {
	readonly address: string;
	readonly gossipPort: number;
};
