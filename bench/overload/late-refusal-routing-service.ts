import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {MembershipService} from '../../src/services/membership/membership-service.js';
import {PolicyService} from '../../src/services/policy/policy-service.js';
import {PolicyRoutingService} from '../../src/services/routing/policy-routing-service.js';

/** Simpler variant: a call is refused only at the upstream, where it would be queued. */
export class LateRefusalRoutingService extends PolicyRoutingService {
	// The kernel reads dependencies from a class's own constructor only, not from an inherited one.
	constructor(
		@SettingsService settings: SettingsService,
		@PolicyService policy: PolicyService,
		@MembershipService membership: MembershipService,
	) {
		super(settings, policy, membership);
	}

	override refuseEarly(): void {
		// Nothing is refused at the entry.
	}
}
