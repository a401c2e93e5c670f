import {type GossipMessage} from './gossip-message.js';

/** Writes a datagram as a JSON array without names; `updates` are encoded already. */
export function encodeMessage(message: Omit<GossipMessage, 'updates'>, updates: readonly string[]): string {
	const head = JSON.stringify([
		message.kind,
		message.sequence,
		message.nodeId,
		message.incarnation,
		message.revision,
		message.policyVersion,
		message.targetNodeId,
	]);
	return `${head.slice(0, -1)},[${updates.join(',')}]]`;
}
