import {type GossipMessageKind} from './gossip-message-kind.js';
import {type MemberUpdate} from './member-update.js';

/** A decoded datagram. */
export type GossipMessage = {
	readonly kind: GossipMessageKind;
	/** Correlates an acknowledgment with its ping; 0 if no acknowledgment is expected. */
	readonly sequence: number;
	readonly nodeId: string;
	readonly incarnation: string;
	/** Revision of the sender's own record; tells a receiver whether it has missed a change. */
	readonly revision: number;
	readonly policyVersion: number;
	/** Time since the store is known to have held no newer version of the policy, in whole milliseconds. */
	readonly confirmationAgeMs: number;
	/** In a ping request the node to ping, in a relayed acknowledgment the node that was pinged; otherwise empty. */
	readonly targetNodeId: string;
	readonly updates: readonly MemberUpdate[];
};
