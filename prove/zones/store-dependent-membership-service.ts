import {serviceDependencies} from '../../src/runtime/kernel/service-dependencies.js';
import {type Member} from '../../src/services/membership/member.js';
import {PartitionableMembershipService} from './partitionable-membership-service.js';

/** Naive variant: returns upstreams only while the node holds a lease that the store has recently renewed. */
export class StoreDependentMembershipService extends PartitionableMembershipService {
	override upstreams(service: string): readonly Member[] {
		return this.hasLease() ? super.upstreams(service) : [];
	}
}

serviceDependencies.set(StoreDependentMembershipService, serviceDependencies.get(PartitionableMembershipService)!);
