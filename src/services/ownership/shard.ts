/** One part of a service's id space and who decides about its ids. */
export type Shard = {
	readonly nodeId: string;
	readonly incarnation: string;
	/** Raised at every change of owner. */
	readonly epoch: number;
	/** Wall clock of the last change of owner that lost the past of the ids, in milliseconds since 1970; 0 for none. */
	readonly takenOverAtMs: number;
	/** Planned hand-over by which the owner got the past of the ids. */
	readonly handOverId?: string;
};
