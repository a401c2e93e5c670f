/** Actions of a schedule on a mesh. */
export enum MeshAction {
	/** Sends an attempt of an id. */
	Send = 'send',
	Kill = 'kill',
	/** Pauses a node; its messages are delivered after it resumes. */
	Freeze = 'freeze',
	/** Breaks the connections between one node and all others. */
	Isolate = 'isolate',
	/** Breaks the connection between two nodes. */
	Cut = 'cut',
	CutStore = 'cut-store',
	StoreOutage = 'store-outage',
	/** Delays each message by a random time. */
	Delay = 'delay',
	/** The other nodes see a running node as dead. */
	Doubt = 'doubt',
	LoseAnswers = 'lose-answers',
	LoseStoreAnswers = 'lose-store-answers',
	/** A planned stop: the node hands over its shards and exits, then starts again as a new incarnation. */
	Leave = 'leave',
	/** The backend servers shed part of their requests. */
	Shed = 'shed',
	/** The backend servers start requests and often don't answer them. */
	Fail = 'fail',
}
