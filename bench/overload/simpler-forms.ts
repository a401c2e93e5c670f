import {type Kernel} from '../../src/platform/kernel/kernel.js';
import {AnnouncedLimitService} from '../../src/services/admission/announced-limit-service.js';
import {LimitService} from '../../src/services/admission/limit-service.js';
import {OpenThresholdService} from '../../src/services/admission/open-threshold-service.js';
import {ThresholdService} from '../../src/services/admission/threshold-service.js';
import {type Member} from '../../src/services/membership/member.js';
import {PolicyRoutingService} from '../../src/services/routing/policy-routing-service.js';
import {RoutingService} from '../../src/services/routing/routing-service.js';

class LateRefusalRoutingService extends PolicyRoutingService {
	override refuseEarly(): void {
		// Refused where the work would be queued.
	}
}

class TurnRoutingService extends PolicyRoutingService {
	private turn = 0;

	protected override pick(candidates: readonly Member[]): Member | undefined {
		return candidates[this.turn++ % candidates.length];
	}
}

/** Decisions that the bench can replace by a simpler form, by name. */
export const simplerForms: ReadonlyMap<string, (kernel: Kernel) => void> = new Map([
	['learned-limit', kernel => {
		kernel.register(LimitService, AnnouncedLimitService);
	}],
	['threshold', kernel => {
		kernel.register(ThresholdService, OpenThresholdService);
	}],
	['two-choices', kernel => {
		kernel.register(RoutingService, TurnRoutingService);
	}],
	['early-refusal', kernel => {
		kernel.register(RoutingService, LateRefusalRoutingService);
	}],
]);
