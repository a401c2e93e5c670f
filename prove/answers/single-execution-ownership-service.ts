import {type PeerAddress} from '../../src/runtime/peer/peer-address.js';
import {type CallAnswer} from '../../src/services/calls/call-answer.js';
import {type CallRequest} from '../../src/services/calls/call-request.js';
import {UpstreamService} from '../../src/services/calls/upstream-service.js';
import {type OwnershipService} from '../../src/services/ownership/ownership-service.js';

/** Ownership without shards: the entry node sends each request itself, once, with the request id as its call id. */
export class SingleExecutionOwnershipService implements OwnershipService {
	readonly shards = [];

	constructor(@UpstreamService private readonly upstreams: UpstreamService) {}

	async run(request: CallRequest, signal: AbortSignal): Promise<CallAnswer> {
		return this.upstreams.execute(request, {callId: request.requestId, exclude: new Set()}, signal);
	}

	ownerOf(): PeerAddress | undefined {
		return undefined;
	}

	isOwner(): boolean {
		return true;
	}

	async findOwner(): Promise<undefined> {
		return undefined;
	}

	drawRetry(): boolean {
		return true;
	}

	reserve(): readonly string[] {
		return [];
	}

	async start(): Promise<void> {
		// There are no shards to take.
	}

	async handOver(): Promise<void> {
		// There are no shards to hand over.
	}
}
