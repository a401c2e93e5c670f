/** The settings of a node; the program checks them before it opens any port. */
export type NodeSettings = {
	readonly nodeId: string;
	/** IP address that the node listens on and advertises to other nodes. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly region: string;
	/** TCP port for callers' HTTP requests. For this and the ports below, 0 takes a free port. */
	readonly callerPort: number;
	/** Loopback TCP port for the VM's own backend server. */
	readonly backendPort: number;
	/** TCP port for peer nodes. */
	readonly peerPort: number;
	/** UDP port for gossip. */
	readonly gossipPort: number;
	/** Base URLs of the key-value store, tried in order. */
	readonly storeUrls: readonly string[];
	/** Time to live of the node's lease in the store. */
	readonly leaseTtlMs: number;
	/** The node stops relying on its lease this long before the lease can expire. */
	readonly leaseMarginMs: number;
	/** Maximum difference between the wall clocks of two VMs that decisions allow for. */
	readonly clockSkewBoundMs: number;
	/** Maximum time that a stopping node waits for running work. */
	readonly shutdownTimeoutMs: number;
	/** Silence on a peer or store connection with outstanding work before the connection is probed. */
	readonly probeAfterMs: number;
	/** Silence after a probe before the connection is abandoned. */
	readonly abandonAfterMs: number;
	readonly gossipIntervalMs: number;
	/** Gossip addresses `IP:PORT` of other nodes, contacted if the store is unreachable at startup. */
	readonly seedAddresses: readonly string[];
	readonly logLevel: string;
	/** Address of the StatsD server as `host:port`; empty disables StatsD. */
	readonly statsdAddress: string;
	/** Seed of the random number generators; 0 takes a random seed from the operating system. */
	readonly seed: number;
};
