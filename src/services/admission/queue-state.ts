/** The queue of a node as it stands at one moment. */
export type QueueState = {
	/** How long the work has waited that waits longest; 0 for an empty queue. */
	readonly oldestWaitMs: number;
	/** Whether all that the limit allows is running. */
	readonly isFull: boolean;
	/** Own time of the backend server for a request; 0 when not known. */
	readonly ownTimeMs: number;
};
