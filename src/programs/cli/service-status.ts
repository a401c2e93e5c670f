/** One service in one availability zone, summed over the nodes that answered. */
export type ServiceStatus = {
	readonly service: string;
	readonly availabilityZone: string;
	nodes: number;
	limit: number;
	inFlight: number;
	queued: number;
	/** Longest of the nodes' queue waits. */
	queueWaitMs: number;
	/** Highest of the nodes' thresholds. */
	threshold: number;
	retriesGranted: number;
	retriesDenied: number;
	/** Outcomes that callers were told are unknown. */
	unknownOutcomes: number;
	/** Refusals and failures by caller class and kind. */
	readonly refused: Record<string, number>;
	/** Lowest policy version in force. */
	policyVersion: number;
	/** Nodes that reach the store. */
	reachStore: number;
};
