import {randomUUID} from 'node:crypto';
import {type CallAnswer} from '../../src/services/calls/call-answer.js';
import {type CallRequest} from '../../src/services/calls/call-request.js';
import {UpstreamService} from '../../src/services/calls/upstream-service.js';
import {type OwnershipService, type ShardSummary} from '../../src/services/ownership/ownership-service.js';

/** Naive variant of ownership: executes every attempt immediately and keeps no record of it. */
export class PlainOwnershipService implements OwnershipService {
	readonly shards: readonly ShardSummary[] = [];

	constructor(@UpstreamService private readonly upstreams: UpstreamService) {}

	async run(request: CallRequest, signal: AbortSignal): Promise<CallAnswer> {
		return this.upstreams.execute(request, {callId: randomUUID(), exclude: new Set()}, signal);
	}

	ownerOf(): undefined {
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

	reserve(count: number): readonly string[] {
		return Array.from({length: count}, () => randomUUID());
	}

	async start(): Promise<void> {
		// Nothing is kept.
	}

	async handOver(): Promise<void> {
		// Nothing is kept.
	}
}
