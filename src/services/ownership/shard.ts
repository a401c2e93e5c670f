/** A part of a service's id space and its owner. */
export type Shard = {
	readonly nodeId: string;
	readonly incarnation: string;
	/** Incremented at every change of owner. */
	readonly epoch: number;
	/** Wall-clock time of the last change of owner that lost the history of the ids, in milliseconds since 1970; 0 if there was none. */
	readonly takenOverAtMs: number;
	/** Planned hand-over that transferred the history of the ids to the owner. */
	readonly handOverId?: string;
};
