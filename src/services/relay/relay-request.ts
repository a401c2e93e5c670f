import {type InstanceCondition} from '../backend/instance-condition.js';

/** A request as the node that received it from its caller forwards it to an upstream's node. */
export type RelayRequest = {
	readonly requestId: string;
	readonly route: string;
	readonly service: string;
	readonly method: string;
	/** Path and query string, as the caller sent them. */
	readonly target: string;
	/** Alternating names and values, without hop-by-hop headers. */
	readonly headers: readonly string[];
	readonly idempotent: boolean;
	/** Priority of the route, or of the parent request if that is higher; 0 is the highest. */
	readonly priority: number;
	/** Whether the caller has been waiting since an earlier attempt was refused. */
	readonly hasWaited: boolean;
	/** Whether this is an inner call; its failure wastes the work already done for the parent request. */
	readonly isInner: boolean;
	/** Condition that the upstream's backend server stated in its last answer to the sender; the upstream's node may have restarted since. */
	readonly condition?: InstanceCondition;
	readonly body?: Uint8Array;
};
