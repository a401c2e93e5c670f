import {serviceDependencies} from '../../src/runtime/kernel/service-dependencies.js';
import {type Member} from '../../src/services/membership/member.js';
import {CuttableMembershipService} from './cuttable-membership-service.js';

/** Knows upstreams only under a lease that the store has renewed of late. */
export class StoreBoundMembershipService extends CuttableMembershipService {
	override upstreams(service: string): readonly Member[] {
		return this.hasLease() ? super.upstreams(service) : [];
	}
}

serviceDependencies.set(StoreBoundMembershipService, serviceDependencies.get(CuttableMembershipService)!);
