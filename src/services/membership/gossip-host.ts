import {type Member} from './member.js';

/** What gossip asks of the membership that it serves. */
export interface GossipHost {
	readonly self: Member;
	/** Peers hold something of this run that is not so: its own record goes beyond this revision. */
	refute(revision: number): void;
	/** A newer run of this node's id is about. */
	noteSuperseded(incarnation: string): void;
	noteChanged(member: Member): void;
	/** More has changed than gossip passes on within its budget. */
	noteBacklog(): void;
	/** A member has this policy version. */
	notePolicyVersion(member: Member): void;
}
