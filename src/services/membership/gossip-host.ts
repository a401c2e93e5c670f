import {type Member} from './member.js';

/** Interface through which gossip accesses the membership service that owns it. */
export interface GossipHost {
	readonly self: Member;
	/** Time since the store is known to have held no policy version newer than the one in force at this node; may be infinite. */
	readonly confirmationAgeMs: number;
	/** Refutes a wrong record of this incarnation that other nodes hold, by publishing a record with a revision above this one. */
	refute(revision: number): void;
	/** Called when another node reports a newer incarnation of this node id. */
	notifySuperseded(incarnation: string): void;
	notifyChanged(member: Member): void;
	/** Called when more updates are queued than gossip can broadcast within its byte budget. */
	notifyBacklog(): void;
	/** Called for every datagram of a member, with the policy version that is in force at it and the age of the store's confirmation of it. */
	notifyConfirmation(policyVersion: number, ageMs: number): void;
	/** Called for every datagram and new record of a member, as the fetch of a version announced earlier may have failed. */
	notifyPolicyVersion(member: Member): void;
}
