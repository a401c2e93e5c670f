/** What a schedule does to a mesh. */
export enum MeshAction {
	/** Sends an attempt of an id. */
	Send = 'send',
	Kill = 'kill',
	/** Stops a node for a while; its messages wait. */
	Freeze = 'freeze',
	/** Cuts one node from all others. */
	Isolate = 'isolate',
	/** Cuts two nodes from each other. */
	Cut = 'cut',
	CutStore = 'cut-store',
	StoreOutage = 'store-outage',
	/** Messages are late for a while, each by a time of its own. */
	Delay = 'delay',
	/** The others take a node for dead that is not. */
	Doubt = 'doubt',
	LoseAnswers = 'lose-answers',
	LoseStoreAnswers = 'lose-store-answers',
	/** A planned stop: the node hands its shards over and ends; another run takes its place. */
	Leave = 'leave',
	/** The backend servers shed part of the work for a while. */
	Shed = 'shed',
	/** The backend servers begin work and often give no answer for a while. */
	Fail = 'fail',
}
