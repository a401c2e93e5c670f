/** Attempts and retries recorded for one root id. */
export type RetryCount = {
	readonly rootId: string;
	/** Key of the shard that the root id belongs to. */
	readonly shardKey: string;
	hasEntered: boolean;
	drawn: number;
	lastSeenAtMs: number;
};
