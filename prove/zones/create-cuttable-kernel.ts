import {type Kernel} from '../../src/runtime/kernel/kernel.js';
import {PeerService} from '../../src/runtime/peer/peer-service.js';
import {type NodeSettings} from '../../src/runtime/settings/node-settings.js';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {LeaseService} from '../../src/services/membership/lease-service.js';
import {MembershipService} from '../../src/services/membership/membership-service.js';
import {CuttableMembershipService} from './cuttable-membership-service.js';
import {CuttablePeerService} from './cuttable-peer-service.js';
import {ZoneCut} from './zone-cut.js';

/** Creates the kernel of a node whose zone a signal partitions from the others and reconnects. */
export function createCuttableKernel(settings: NodeSettings, Membership = CuttableMembershipService): Kernel {
	const zoneCut = new ZoneCut(settings.availabilityZone);
	const kernel = createKernel(settings)
		.register(PeerService, CuttablePeerService)
		.register(MembershipService, Membership);
	(kernel.get(PeerService) as CuttablePeerService).zoneCut = zoneCut;
	const membership = kernel.get(MembershipService) as CuttableMembershipService;
	membership.zoneCut = zoneCut;
	membership.hasLease = () => kernel.get(LeaseService).isHeld();
	return kernel;
}
