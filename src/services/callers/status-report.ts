import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {StoreService} from '../../runtime/store/store-service.js';
import {AdmissionService} from '../admission/admission-service.js';
import {MembershipService} from '../membership/membership-service.js';
import {OwnershipService} from '../ownership/ownership-service.js';
import {PolicyService} from '../policy/policy-service.js';
import {RoutingService} from '../routing/routing-service.js';
import {type StatusService} from './status-service.js';

/** Collects the node's status and its view of the other nodes. */
export class StatusReport implements StatusService {
	constructor(
		@MembershipService private readonly membership: MembershipService,
		@RoutingService private readonly routing: RoutingService,
		@AdmissionService private readonly admission: AdmissionService,
		@OwnershipService private readonly ownership: OwnershipService,
		@PolicyService private readonly policy: PolicyService,
		@StoreService private readonly store: StoreService,
		@MetricsService private readonly metrics: MetricsService,
	) {}

	report() {
		return {
			self: this.membership.self,
			policyVersion: this.policy.version,
			storeReachable: this.store.reachable,
			admission: this.admission.load,
			shards: this.ownership.shards,
			members: this.membership.members,
			loads: Object.fromEntries(this.routing.loads),
			metrics: this.metrics.snapshot(),
		};
	}
}
