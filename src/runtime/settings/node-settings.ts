/** Everything a node is told at its start; checked by the program before any port is opened. */
export type NodeSettings = {
	readonly nodeId: string;
	/** IP address that the node listens on and tells its peers. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly region: string;
	/** TCP port for callers' HTTP; 0 lets the operating system choose, here and below. */
	readonly callerPort: number;
	/** Loopback TCP port for the VM's own backend server. */
	readonly backendPort: number;
	/** TCP port for peer nodes. */
	readonly peerPort: number;
	/** UDP port for gossip. */
	readonly gossipPort: number;
	/** Base URLs of the key-value store, tried in turn. */
	readonly storeUrls: readonly string[];
	/** Time to live of the node's lease in the store. */
	readonly leaseTtlMs: number;
	/** A right under the lease ends this much before the lease may. */
	readonly leaseMarginMs: number;
	/** Largest difference between two VMs' wall clocks that decisions allow for. */
	readonly clockSkewBoundMs: number;
	/** How long a stopping node waits for running work. */
	readonly shutdownTimeoutMs: number;
	/** Silence on a peer or store connection with work outstanding before it is probed. */
	readonly probeAfterMs: number;
	/** Silence after a probe before the connection is abandoned. */
	readonly abandonAfterMs: number;
	readonly gossipIntervalMs: number;
	/** Gossip addresses `IP:PORT` of other nodes, greeted when the store is away at the start. */
	readonly seedAddresses: readonly string[];
	readonly logLevel: string;
	/** StatsD address as `host:port`; empty sends nothing. */
	readonly statsdAddress: string;
	/** Seed for random choices; 0 takes one from the operating system. */
	readonly seed: number;
};
