import {Buffer} from 'node:buffer';
import {encodeMemberUpdate} from './encode-member-update.js';
import {type Member} from './member.js';

type Broadcast = {
	readonly encoded: string;
	transmissions: number;
};

/** Transmissions of one update by each node that knows it, per decimal digit of the number of members. */
const transmissionsPerDigit = 4;

/** Updates to pass on, the latest of each member, each a bounded number of times (SWIM's dissemination by infection). */
export class BroadcastQueue {
	/** How often one update is passed on among so many members. */
	static transmissionLimit(memberCount: number): number {
		return Math.ceil(transmissionsPerDigit * Math.log10(memberCount + 1));
	}

	private readonly broadcasts = new Map<string, Broadcast>();

	get isEmpty(): boolean {
		return this.broadcasts.size === 0;
	}

	add(member: Member): void {
		this.broadcasts.set(member.nodeId, {encoded: encodeMemberUpdate(member), transmissions: 0});
	}

	/** Takes the updates passed on least so far, as many as fit. */
	take(maxBytes: number, memberCount: number): string[] {
		const limit = BroadcastQueue.transmissionLimit(memberCount);
		const taken: string[] = [];
		let leftBytes = maxBytes;
		for (const [nodeId, broadcast] of this.leastPassedOn()) {
			const sizeBytes = Buffer.byteLength(broadcast.encoded) + 1;
			if (sizeBytes > leftBytes) {
				break;
			}

			leftBytes -= sizeBytes;
			taken.push(broadcast.encoded);
			broadcast.transmissions++;
			if (broadcast.transmissions >= limit) {
				this.broadcasts.delete(nodeId);
			}
		}

		return taken;
	}

	private leastPassedOn(): Array<[string, Broadcast]> {
		return [...this.broadcasts].sort(([, left], [, right]) => left.transmissions - right.transmissions);
	}
}
