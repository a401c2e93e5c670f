import {serviceDependencies} from '../../src/runtime/kernel/service-dependencies.js';
import {type DatagramSocket} from '../../src/services/membership/datagram-socket.js';
import {type GossipAddress} from '../../src/services/membership/gossip-address.js';
import {GossipMembershipService} from '../../src/services/membership/gossip-membership-service.js';
import {type ZonePartition} from './zone-partition.js';

/** Membership whose datagrams don't leave the zone while it is partitioned. */
export class PartitionableMembershipService extends GossipMembershipService {
	zonePartition!: ZonePartition;
	/** Whether this node holds a lease that the store has recently renewed. */
	hasLease!: () => boolean;

	protected override async openSocket(): Promise<DatagramSocket> {
		const socket = await super.openSocket();
		const send = socket.send.bind(socket);
		socket.send = (bytes, to) => {
			if (!this.isSeparated(to)) {
				send(bytes, to);
			}
		};

		return socket;
	}

	private isSeparated({gossipPort}: GossipAddress): boolean {
		const receiver = this.members.find(member => member.gossipPort === gossipPort);
		return receiver !== undefined && this.zonePartition.separates(receiver.nodeId);
	}
}

serviceDependencies.set(PartitionableMembershipService, serviceDependencies.get(GossipMembershipService)!);
