import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {MembershipService} from '../../src/services/membership/membership-service.js';
import {PolicyService} from '../../src/services/policy/policy-service.js';
import {PolicyRoutingService} from '../../src/services/routing/policy-routing-service.js';

/** Simpler form: work is refused only where it would be queued. */
export class LateRefusalRoutingService extends PolicyRoutingService {
	// The kernel knows what a class needs by its own constructor only.
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
