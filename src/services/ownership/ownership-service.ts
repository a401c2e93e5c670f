import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallContext} from '../calls/call-context.js';
import {type CallRequest} from '../calls/call-request.js';

/** Current distribution of the shards of a service, for the status report. */
export type ShardSummary = {
	readonly service: string;
	readonly version: number;
	readonly shardsByNodeId: Readonly<Record<string, number>>;
};

/** Decides about request ids: each id is owned by one node, which has it executed at most once and counts its retries. */
export interface OwnershipService {
	readonly shards: readonly ShardSummary[];
	/** Executes a call that is not idempotent through the owner of its id, or joins the execution in progress. */
	run(request: CallRequest, signal: AbortSignal): Promise<CallAnswer>;
	/** Owner of an id of a service according to the known shard table; undefined if there is none. */
	ownerOf(service: string, requestId: string): PeerAddress | undefined;
	/** Whether this node is authoritative for the id now and its history was not lost in a takeover. */
	isOwner(service: string, requestId: string): boolean;
	/** Owner of an id; reads the table of the service if this node does not know the owner yet. */
	findOwner(service: string, requestId: string): Promise<PeerAddress | undefined>;
	/**
	Draws one retry from the retry total of a root id that this node owns; the first attempt that the caller itself makes draws none.
	Returns false if the total is spent or this node can't decide: no lease, a hand-over in progress or a takeover that lost the count.
	*/
	drawRetry(context: CallContext, isAttempt: boolean): boolean;
	/** Mints ids that this incarnation of the node owns. */
	reserve(count: number): readonly string[];
	start(signal: AbortSignal): Promise<void>;
	/** Hands over all shards and waits for the executions in progress to end. */
	handOver(signal: AbortSignal): Promise<void>;
}

export const OwnershipService = createServiceId<OwnershipService>('ownership');
