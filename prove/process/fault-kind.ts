/** Kinds of faults in runs with separate processes. */
export enum FaultKind {
	KillVm = 'kill-vm',
	KillBackendServer = 'kill-backend-server',
	/** The node is suspended by a signal, at times for longer than its lease, then resumed. */
	FreezeNode = 'freeze-node',
	ReplaceVm = 'replace-vm',
	StoreOutage = 'store-outage',
	LostStoreAnswers = 'lost-store-answers',
	SilentStoreConnections = 'silent-store-connections',
	SlowBackendServer = 'slow-backend-server',
	CutAnswers = 'cut-answers',
	ShedAfterBegin = 'shed-after-begin',
	/** A backend server announces that it is draining but keeps running, and its health endpoint still reports it as healthy. */
	AnnouncedLeaving = 'announced-leaving',
}
