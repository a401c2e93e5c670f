/** Report of an instance of a backend server about itself. */
export type InstanceReport = {
	readonly instanceId: string;
	/** Boot time by its VM's wall clock, in milliseconds since 1970; orders the instances at an address. */
	readonly bootedAtMs: number;
	/** Sequence number among the reports of the instance. */
	readonly sequence: number;
	readonly service: string;
	readonly slots: number;
	readonly draining: boolean;
	/** Remaining time for which the instance is slow after its boot. */
	readonly coldRemainingMs: number;
};
