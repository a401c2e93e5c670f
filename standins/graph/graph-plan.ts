/** Processes of a test run: nodes with one backend server each. */
export type GraphPlan = {
	readonly nodes: readonly NodePlan[];
	/** Policy document that is submitted at the start. */
	readonly policy: Readonly<Record<string, unknown>>;
	/** Additional flags of each node. */
	readonly nodeFlags?: readonly string[];
	/** Program file of the nodes; that of this build by default. */
	readonly nodeFile?: string;
	readonly seed: number;
	/** False if the nodes' ownership service has no shards to wait for; true by default. */
	readonly hasShards?: boolean;
};

export type NodePlan = {
	readonly nodeId: string;
	readonly availabilityZone: string;
	readonly region?: string;
	readonly service: string;
	readonly slots: number;
	readonly serviceTimeMs: number;
	/** Inner calls that the backend server makes for each request, as `METHOD /path`. */
	readonly calls?: readonly string[];
	/** Additional flags of the backend server stand-in. */
	readonly backendFlags?: readonly string[];
};
