import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {type Member} from '../../src/services/membership/member.js';
import {MembershipService} from '../../src/services/membership/membership-service.js';
import {PolicyService} from '../../src/services/policy/policy-service.js';
import {PolicyRoutingService} from '../../src/services/routing/policy-routing-service.js';

/** Simpler form: upstreams take calls in turn, whatever their load. */
export class TurnRoutingService extends PolicyRoutingService {
	private turn = 0;

	// The kernel knows what a class needs by its own constructor only.
	constructor(
		@SettingsService settings: SettingsService,
		@PolicyService policy: PolicyService,
		@MembershipService membership: MembershipService,
	) {
		super(settings, policy, membership);
	}

	protected override pick(candidates: readonly Member[]): Member | undefined {
		return candidates[this.turn++ % candidates.length];
	}
}
