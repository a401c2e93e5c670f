/** Exit statuses of `kumquatline`, documented in docs/OPERATIONS.md. */
export enum ExitStatus {
	Ok = 0,
	/** The command failed for a reason that has no status of its own below. */
	Failed = 1,
	/** The command line is invalid or a file can't be read. */
	UsageInvalid = 2,
	/** The policy or the patch is not valid; nothing was changed. */
	PolicyInvalid = 3,
	/** The version in force is not the base version of the patch; nothing was changed. */
	PolicyConflict = 4,
	/** The node or the store behind it can't be reached, or the node has no policy yet; this attempt changed nothing. */
	Unavailable = 5,
	/** The change may have been accepted: submit it again under the same patch id. */
	OutcomeUnknown = 6,
	/** The timeout expired before every reachable node had the version. */
	WaitTimedOut = 7,
}
