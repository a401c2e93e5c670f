import {type Kernel} from '../../src/runtime/kernel/kernel.js';
import {PeerService} from '../../src/runtime/peer/peer-service.js';
import {type NodeSettings} from '../../src/runtime/settings/node-settings.js';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {LeaseService} from '../../src/services/membership/lease-service.js';
import {MembershipService} from '../../src/services/membership/membership-service.js';
import {PartitionableMembershipService} from './partitionable-membership-service.js';
import {PartitionablePeerService} from './partitionable-peer-service.js';
import {ZonePartition} from './zone-partition.js';

/** Creates the kernel of a node whose zone a signal partitions from the others and reconnects. */
export function createPartitionableKernel(settings: NodeSettings, Membership = PartitionableMembershipService): Kernel {
	const zonePartition = new ZonePartition(settings.availabilityZone);
	const kernel = createKernel(settings)
		.register(PeerService, PartitionablePeerService)
		.register(MembershipService, Membership);
	(kernel.get(PeerService) as PartitionablePeerService).zonePartition = zonePartition;
	const membership = kernel.get(MembershipService) as PartitionableMembershipService;
	membership.zonePartition = zonePartition;
	membership.hasLease = () => kernel.get(LeaseService).isHeld();
	return kernel;
}
