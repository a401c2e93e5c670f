/** Processes of a run: one backend server beside each node. */
export type GraphPlan = {
	readonly nodes: readonly NodePlan[];
	/** Policy document in force from the start. */
	readonly policy: Readonly<Record<string, unknown>>;
	/** Further settings for each node, as flags. */
	readonly nodeFlags?: readonly string[];
	/** Program file of the nodes, when it is not this build's. */
	readonly nodeFile?: string;
	readonly seed: number;
	/** False for nodes whose ownership has no shards to wait for. */
	readonly hasShards?: boolean;
};

export type NodePlan = {
	readonly nodeId: string;
	readonly availabilityZone: string;
	readonly region?: string;
	readonly service: string;
	readonly slots: number;
	readonly serviceTimeMs: number;
	/** Sub-calls that the backend server makes for each request, as `METHOD /path`. */
	readonly calls?: readonly string[];
	/** Further flags of the backend server stand-in. */
	readonly backendFlags?: readonly string[];
};
