import {ConfirmationSource} from '../policy/confirmation-source.js';
import {type GossipChannel} from './gossip-channel.js';
import {type GossipHost} from './gossip-host.js';
import {GossipMessageKind} from './gossip-message-kind.js';
import {goneStates} from './gone-states.js';
import {type MemberTable} from './member-table.js';
import {type SeededRandom} from './seeded-random.js';

/** Members of the own availability zone that receive a confirmation. */
const fanout = 3;

/**
Sends datagrams, each of which carries the age of the confirmation of the policy in force, to a few members.

A confirmation from the store is sent to members of the own availability zone and to one member of each other zone; a confirmation from a
peer is sent within the own zone only, which keeps the traffic between zones low.
*/
export class ConfirmationBroadcast {
	constructor(
		private readonly host: GossipHost,
		private readonly table: MemberTable,
		private readonly channel: GossipChannel,
		private readonly random: SeededRandom,
	) {}

	send(source: ConfirmationSource): void {
		const {nodeId, availabilityZone} = this.host.self;
		const remainingByZone = new Map([[availabilityZone, fanout]]);
		for (const member of this.random.shuffle(this.table.all)) {
			const remaining = remainingByZone.get(member.availabilityZone) ?? (source === ConfirmationSource.Store ? 1 : 0);
			if (remaining > 0 && member.nodeId !== nodeId && !goneStates.has(member.state)) {
				remainingByZone.set(member.availabilityZone, remaining - 1);
				this.channel.send(member, GossipMessageKind.Updates);
			}
		}
	}
}
