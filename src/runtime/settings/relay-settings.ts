/** What a node that stands between callers and its VM's backend server is told besides the settings of every node. */
export type RelaySettings = {
	/** Service of the VM's backend server; told to backend servers as the origin of requests that begin here. */
	readonly service: string;
	readonly backendHost: string;
	readonly backendPort: number;
	/** Address at which the VM's callers and its backend server send requests. */
	readonly outboundHost: string;
	readonly outboundPort: number;
	/** Address at which readiness is asked for. */
	readonly readyHost: string;
	readonly readyPort: number;
	/** Address at which the VM's backend server announces itself. */
	readonly controlHost: string;
	readonly controlPort: number;
	/** Port for counters and histograms as text. */
	readonly metricsPort: number;
	/** Repetitions that a service may get in any window: a share of the requests for it, and so many more. */
	readonly retryRatio: number;
	readonly retryWindowMs: number;
	readonly retrySlack: number;
	/** Time from the request to stop until the process is ended by force. */
	readonly graceMs: number;
	/** Time between two announcements of a backend server. */
	readonly announceIntervalMs: number;
};
