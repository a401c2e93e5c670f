import {type GossipMessageKind} from './gossip-message-kind.js';
import {type MemberUpdate} from './member-update.js';

/** A decoded datagram. */
export type GossipMessage = {
	readonly kind: GossipMessageKind;
	/** Ties an acknowledgment to its ping; 0 where nothing is awaited. */
	readonly sequence: number;
	readonly nodeId: string;
	readonly incarnation: string;
	/** Revision of the sender's own record, so that a receiver knows whether it has missed a change. */
	readonly revision: number;
	readonly policyVersion: number;
	/** Node to ping, in a ping request. */
	readonly targetNodeId: string;
	readonly updates: readonly MemberUpdate[];
};
