/** What one boot of a backend server says of itself. */
export type InstanceReport = {
	readonly instanceId: string;
	/** Start of the boot by its VM's wall clock, in milliseconds since 1970; orders the boots of an address. */
	readonly bornAtMs: number;
	/** Counts the reports of the boot. */
	readonly sequence: number;
	readonly service: string;
	readonly slots: number;
	readonly draining: boolean;
	/** How much longer the boot stays slow after its start. */
	readonly coldLeftMs: number;
};
