import {type Kernel} from '../../src/platform/kernel/kernel.js';
import {AnnouncedLimitService} from '../../src/services/admission/announced-limit-service.js';
import {LimitService} from '../../src/services/admission/limit-service.js';
import {OpenThresholdService} from '../../src/services/admission/open-threshold-service.js';
import {ThresholdService} from '../../src/services/admission/threshold-service.js';
import {PolicyRoutingService} from '../../src/services/routing/policy-routing-service.js';
import {RoutingService} from '../../src/services/routing/routing-service.js';

class LateRefusalRoutingService extends PolicyRoutingService {
	override refuseEarly(): void {
		// Refused where the work would be queued.
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
	['early-refusal', kernel => {
		kernel.register(RoutingService, LateRefusalRoutingService);
	}],
]);
