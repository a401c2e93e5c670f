/** Status of a service in an availability zone, summed over the nodes that answered. */
export type ServiceStatus = {
	readonly service: string;
	readonly availabilityZone: string;
	nodes: number;
	limit: number;
	inFlight: number;
	queued: number;
	/** Maximum of the nodes' queue waits. */
	queueWaitMs: number;
	/** Maximum of the nodes' thresholds. */
	threshold: number;
	retriesGranted: number;
	retriesDenied: number;
	/** Requests whose outcome was reported to the caller as unknown. */
	unknownOutcomes: number;
	/** Refusals and failures by caller class and error kind. */
	readonly refused: Record<string, number>;
	/** Lowest policy version in force at the nodes. */
	policyVersion: number;
	/** Number of nodes that can reach the store. */
	reachStore: number;
};
