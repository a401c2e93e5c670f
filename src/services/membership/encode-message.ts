import {type GossipMessage} from './gossip-message.js';

/** Encodes a datagram as a JSON array without property names; `updates` are already encoded. */
export function encodeMessage(message: Omit<GossipMessage, 'updates'>, updates: readonly string[]): string {
	const head = JSON.stringify([
		message.kind,
		message.sequence,
		message.nodeId,
		message.incarnation,
		message.revision,
		message.policyVersion,
		message.confirmationAgeMs,
		message.targetNodeId,
	]);
	return `${head.slice(0, -1)},[${updates.join(',')}]]`;
}
