/** Snapshot of a node's admission queue. */
export type QueueState = {
	/** Time that the oldest call has been queued; 0 for an empty queue. */
	readonly oldestWaitMs: number;
	/** Whether as many calls are running as the limit permits. */
	readonly isFull: boolean;
	/** Self time of the backend server per request; 0 if unknown. */
	readonly selfTimeMs: number;
};
