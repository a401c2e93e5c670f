/** Exit statuses of `kumquatline`, documented in docs/OPERATIONS.md. */
export enum ExitStatus {
	Ok = 0,
	/** The node answered with an error that is none of those below. */
	Failed = 1,
	/** The command line is wrong or a file can't be read. */
	UsageInvalid = 2,
	/** The policy or the patch is not valid; nothing was changed. */
	PolicyInvalid = 3,
	/** Another version is in force than the one that the patch names; nothing was changed. */
	PolicyConflict = 4,
	/** The node, or the store behind it, can't be reached; this attempt changed nothing. */
	Unavailable = 5,
	/** The change may have been accepted: submit it again under the same patch id. */
	OutcomeUnknown = 6,
	/** The time was over before every reachable node had the version. */
	WaitTimedOut = 7,
}
