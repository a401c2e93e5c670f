import {Buffer} from 'node:buffer';
import {encodeMemberUpdate} from './encode-member-update.js';
import {type Member} from './member.js';
import {MemberState} from './member-state.js';

type Broadcast = {
	readonly encoded: string;
	readonly revision: number;
	readonly isUrgent: boolean;
	readonly isListed: boolean;
	transmissions: number;
};

/** Transmissions of one update by each node, as a multiple of the base 10 logarithm of the member count. */
const urgentTransmissionsPerDigit = 7;
const ordinaryTransmissionsPerDigit = 3;
/** States in which a request sent to the member is lost or refused. */
const urgentStates: ReadonlySet<MemberState> = new Set([MemberState.Draining, MemberState.Suspect, MemberState.Left]);
const listedStates: ReadonlySet<MemberState> = new Set([MemberState.Joined, MemberState.Serving]);

/** Updates to broadcast: the latest of each member, transmitted a bounded number of times (infection-style dissemination, as in SWIM). */
export class BroadcastQueue {
	/** How often a node transmits one update, given the number of members. */
	static transmissionLimit(memberCount: number, isUrgent: boolean): number {
		return Math.ceil((isUrgent ? urgentTransmissionsPerDigit : ordinaryTransmissionsPerDigit) * Math.log10(memberCount + 1));
	}

	private readonly broadcasts = new Map<string, Broadcast>();

	get isEmpty(): boolean {
		return this.broadcasts.size === 0;
	}

	/** Number of queued updates that the registrations in the store contain too. */
	get listedCount(): number {
		return [...this.broadcasts.values()].filter(broadcast => broadcast.isListed).length;
	}

	add(member: Member): void {
		const {nodeId, revision, state} = member;
		this.broadcasts.set(nodeId, {
			encoded: encodeMemberUpdate(member), revision, isUrgent: urgentStates.has(state), isListed: listedStates.has(state), transmissions: 0,
		});
	}

	/** Counts a copy of a queued update received from another node as one of its transmissions, unless the update is urgent (Demers et al. 1987). */
	countReceivedCopy(nodeId: string, revision: number): void {
		const broadcast = this.broadcasts.get(nodeId);
		if (broadcast?.revision === revision && !broadcast.isUrgent) {
			broadcast.transmissions++;
		}
	}

	/** Drops an update that a listing of the store contains; other nodes whose queues are as long list the store too. */
	removeListed(nodeId: string, revision: number): void {
		const broadcast = this.broadcasts.get(nodeId);
		if (broadcast?.isListed && broadcast.revision <= revision) {
			this.broadcasts.delete(nodeId);
		}
	}

	/** Takes as many updates as fit into `maxBytes`, those with the fewest transmissions first. */
	take(maxBytes: number, memberCount: number): string[] {
		const taken: string[] = [];
		let remainingBytes = maxBytes;
		for (const [nodeId, broadcast] of this.sortedByTransmissions()) {
			const limit = BroadcastQueue.transmissionLimit(memberCount, broadcast.isUrgent);
			if (broadcast.transmissions >= limit) {
				this.broadcasts.delete(nodeId);
				continue;
			}

			const sizeBytes = Buffer.byteLength(broadcast.encoded) + 1;
			if (sizeBytes > remainingBytes) {
				break;
			}

			remainingBytes -= sizeBytes;
			taken.push(broadcast.encoded);
			broadcast.transmissions++;
			if (broadcast.transmissions >= limit) {
				this.broadcasts.delete(nodeId);
			}
		}

		return taken;
	}

	private sortedByTransmissions(): Array<[string, Broadcast]> {
		return [...this.broadcasts].sort(([, left], [, right]) => left.transmissions - right.transmissions);
	}
}
