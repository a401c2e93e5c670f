/** Exit statuses of `kumquatline-node`, documented in docs/OPERATIONS.md. */
export enum ExitStatus {
	Ok = 0,
	/** The node failed to start or to stop in time. */
	Failed = 1,
	/** A setting is missing, malformed or conflicts with another. */
	SettingsInvalid = 2,
}
