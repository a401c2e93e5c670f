/** Faults of runs with separate processes. */
export enum FaultKind {
	KillVm = 'kill-vm',
	KillBackendServer = 'kill-backend-server',
	/** The node is stopped by a signal for longer than its lease lasts, then goes on. */
	FreezeNode = 'freeze-node',
	ReplaceVm = 'replace-vm',
	StoreOutage = 'store-outage',
	LostStoreAnswers = 'lost-store-answers',
	SilentStoreConnections = 'silent-store-connections',
	SlowBackendServer = 'slow-backend-server',
	CutAnswers = 'cut-answers',
	ShedAfterBegin = 'shed-after-begin',
	/** A backend server announces that it is leaving and stays, its health endpoint unchanged. */
	AnnouncedLeaving = 'announced-leaving',
}
