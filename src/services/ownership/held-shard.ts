/** A part of the id space that this node owns. */
export interface HeldShard {
	/** Identifies the shard in the idempotency table. */
	readonly key: string;
	/** Settles when the hand-over in progress, if any, has ended. */
	readonly leaving: Promise<void> | undefined;
	/** Whether this node may decide about the shard's ids at this moment; has to be called in the same tick as acting on the result. */
	isAuthoritative(): boolean;
	/** Whether a previous owner, whose entries are lost, may have had the request of this id executed. */
	mayHaveExecuted(requestId: string): boolean;
}
