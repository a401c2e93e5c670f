/** Exit statuses of `kumquatline-node`, documented in docs/OPERATIONS.md. */
export enum ExitStatus {
	Ok = 0,
	/** The node could not start or stop as it should. */
	Failed = 1,
	/** A setting is missing, malformed or in conflict with another. */
	SettingsInvalid = 2,
}
