/** The part of an id space that this node decides about. */
export interface HeldShard {
	/** Names the shard in the idempotency table. */
	readonly key: string;
	/** Settled when the hand-over in progress, if any, has ended. */
	readonly leaving: Promise<void> | undefined;
	/** Whether the right stands at this moment; ask in the same tick as acting on it. */
	mayAct(): boolean;
	/** Whether an earlier owner, whose table is lost, may have run the id. */
	mayHaveRun(requestId: string): boolean;
}
