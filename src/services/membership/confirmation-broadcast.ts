import {Confirmation} from '../policy/confirmation.js';
import {type GossipChannel} from './gossip-channel.js';
import {type GossipHost} from './gossip-host.js';
import {GossipMessageKind} from './gossip-message-kind.js';
import {goneStates} from './gone-states.js';
import {type MemberTable} from './member-table.js';
import {type SeededRandom} from './seeded-random.js';

/** Members of its own availability zone that a node tells. */
const fanout = 3;

/**
Tells a few members how long ago the store confirmed the policy in force, which every datagram carries.

A node that has read the store tells members of its own availability zone and one of each other zone; a node that hears of it tells
members of its own zone, so that few datagrams pass between zones.
*/
export class ConfirmationBroadcast {
	constructor(
		private readonly host: GossipHost,
		private readonly table: MemberTable,
		private readonly channel: GossipChannel,
		private readonly random: SeededRandom,
	) {}

	send(confirmation: Confirmation): void {
		const {nodeId, availabilityZone} = this.host.self;
		const remainingByZone = new Map([[availabilityZone, fanout]]);
		for (const member of this.random.shuffle(this.table.all)) {
			const remaining = remainingByZone.get(member.availabilityZone) ?? (confirmation === Confirmation.Store ? 1 : 0);
			if (remaining > 0 && member.nodeId !== nodeId && !goneStates.has(member.state)) {
				remainingByZone.set(member.availabilityZone, remaining - 1);
				this.channel.send(member, GossipMessageKind.Updates);
			}
		}
	}
}
