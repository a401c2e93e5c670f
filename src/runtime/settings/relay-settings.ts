/** Additional settings of a node that relays requests between callers and the backend server of its VM. */
export type RelaySettings = {
	/** Service of the VM's backend server; sent to backend servers as the origin of this VM's requests. */
	readonly service: string;
	readonly backendHost: string;
	readonly backendPort: number;
	/** Address at which the VM's callers and its backend server send requests. */
	readonly outboundHost: string;
	readonly outboundPort: number;
	/** Address of the readiness endpoint. */
	readonly readyHost: string;
	readonly readyPort: number;
	/** Address to which the VM's backend server sends its reports. */
	readonly controlHost: string;
	readonly controlPort: number;
	/** Port of the metrics endpoint. */
	readonly metricsPort: number;
	/** Retries allowed for a service in any window: this fraction of the requests for it, plus `retrySlack`. */
	readonly retryRatio: number;
	readonly retryWindowMs: number;
	readonly retrySlack: number;
	/** Time within which a confirmed change of the policy has to be in force at each node. */
	readonly policyInForceMs: number;
	/** Time from the request to stop until the process is killed. */
	readonly graceMs: number;
	/** Time between two reports of a backend server. */
	readonly announceIntervalMs: number;
};
