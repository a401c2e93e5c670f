import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {type Member} from '../../src/services/membership/member.js';
import {MembershipService} from '../../src/services/membership/membership-service.js';
import {PolicyService} from '../../src/services/policy/policy-service.js';
import {PolicyRoutingService} from '../../src/services/routing/policy-routing-service.js';

/** Simpler variant: round-robin routing, regardless of the upstreams' load. */
export class RoundRobinRoutingService extends PolicyRoutingService {
	private nextIndex = 0;

	// The kernel reads dependencies from a class's own constructor only, not from an inherited one.
	constructor(
		@SettingsService settings: SettingsService,
		@PolicyService policy: PolicyService,
		@MembershipService membership: MembershipService,
	) {
		super(settings, policy, membership);
	}

	protected override pick(candidates: readonly Member[]): Member | undefined {
		return candidates[this.nextIndex++ % candidates.length];
	}
}
