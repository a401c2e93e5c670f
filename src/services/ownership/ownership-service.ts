import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallContext} from '../calls/call-context.js';
import {type CallRequest} from '../calls/call-request.js';

/** How the shards of a service are spread at present, for status. */
export type ShardSummary = {
	readonly service: string;
	readonly version: number;
	readonly shardsByNodeId: Readonly<Record<string, number>>;
};

/** Decides about request ids: one node owns each id, runs it at most once and counts its retries. */
export interface OwnershipService {
	readonly shards: readonly ShardSummary[];
	/** Runs a call that is not idempotent through the owner of its id, or joins the run there is. */
	run(request: CallRequest, signal: AbortSignal): Promise<CallAnswer>;
	/** Owner of an id of a service, as the table in force names it; undefined when nobody does. */
	ownerOf(service: string, requestId: string): PeerAddress | undefined;
	/** Whether this node holds the right to decide about the id now, and no takeover makes its past unknown. */
	isOwner(service: string, requestId: string): boolean;
	/** Owner of an id; reads the table of the service when it is not known here yet. */
	findOwner(service: string, requestId: string): Promise<PeerAddress | undefined>;
	/**
	Draws one retry from the total of a root id that this node owns; an attempt of the caller's own draws none if it is the first.
	False when the total is spent or this node can't decide: no lease, a hand-over in progress or a takeover that lost the count.
	*/
	drawRetry(context: CallContext, isAttempt: boolean): boolean;
	/** Mints ids that this run of the node owns. */
	reserve(count: number): readonly string[];
	start(signal: AbortSignal): Promise<void>;
	/** Hands all shards over and waits for running entries. */
	handOver(signal: AbortSignal): Promise<void>;
}

export const OwnershipService = createServiceId<OwnershipService>('ownership');
