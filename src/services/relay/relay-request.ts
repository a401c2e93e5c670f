/** A caller's request on its way from the node that took it to the node beside an upstream. */
export type RelayRequest = {
	readonly requestId: string;
	readonly route: string;
	readonly service: string;
	readonly method: string;
	/** Path and query, as the caller sent them. */
	readonly target: string;
	/** Names and values in turn, those of single connections left out. */
	readonly headers: readonly string[];
	readonly idempotent: boolean;
	/** Rank of the route, or of the request that makes this call if that is higher; 0 the highest. */
	readonly priority: number;
	/** Whether the caller has been waiting since an earlier attempt that was refused. */
	readonly hasWaited: boolean;
	/** Whether a running request makes this call; its failure wastes the work already done for the parent request. */
	readonly isInner: boolean;
	readonly body?: Uint8Array;
};
