/** What an instance of a backend server states about itself in its answers. */
export type InstanceCondition = {
	readonly instanceId: string;
	readonly bootedAtMs: number;
	/** Requests per second that it accepts from all nodes together; undefined without a limit. */
	readonly requestsPerSecond?: number;
	readonly isLeaving: boolean;
};
