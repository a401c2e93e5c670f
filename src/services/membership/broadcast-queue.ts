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

/** Transmissions of one update by each node that knows it, per decimal digit of the number of members. */
const urgentPerDigit = 7;
const relaxedPerDigit = 3;
/** States after which work sent to the member is lost or refused. */
const urgentStates: ReadonlySet<MemberState> = new Set([MemberState.Draining, MemberState.Suspect, MemberState.Left]);
const listedStates: ReadonlySet<MemberState> = new Set([MemberState.Joined, MemberState.Serving]);

/** Updates to pass on, the latest of each member, each a bounded number of times (SWIM's dissemination by infection). */
export class BroadcastQueue {
	/** How often one update is passed on among so many members. */
	static transmissionLimit(memberCount: number, isUrgent: boolean): number {
		return Math.ceil((isUrgent ? urgentPerDigit : relaxedPerDigit) * Math.log10(memberCount + 1));
	}

	private readonly broadcasts = new Map<string, Broadcast>();

	get isEmpty(): boolean {
		return this.broadcasts.size === 0;
	}

	/** Waiting updates that the store's registrations hold as well. */
	get listedCount(): number {
		return [...this.broadcasts.values()].filter(broadcast => broadcast.isListed).length;
	}

	add(member: Member): void {
		const {nodeId, revision, state} = member;
		this.broadcasts.set(nodeId, {
			encoded: encodeMemberUpdate(member), revision, isUrgent: urgentStates.has(state), isListed: listedStates.has(state), transmissions: 0,
		});
	}

	/** Another node passed this update on as well: unless it is urgent, one transmission less is needed (Demers et al. 1987). */
	noteHeard(nodeId: string, revision: number): void {
		const broadcast = this.broadcasts.get(nodeId);
		if (broadcast?.revision === revision && !broadcast.isUrgent) {
			broadcast.transmissions++;
		}
	}

	/** The store lists this very record, and every node with as long a queue lists as well: it is passed on no more. */
	noteListed(nodeId: string, revision: number): void {
		const broadcast = this.broadcasts.get(nodeId);
		if (broadcast?.isListed && broadcast.revision <= revision) {
			this.broadcasts.delete(nodeId);
		}
	}

	/** Takes the updates passed on least so far, as many as fit. */
	take(maxBytes: number, memberCount: number): string[] {
		const taken: string[] = [];
		let leftBytes = maxBytes;
		for (const [nodeId, broadcast] of this.leastPassedOn()) {
			const limit = BroadcastQueue.transmissionLimit(memberCount, broadcast.isUrgent);
			if (broadcast.transmissions >= limit) {
				this.broadcasts.delete(nodeId);
				continue;
			}

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
