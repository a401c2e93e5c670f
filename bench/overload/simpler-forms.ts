import {type Kernel} from '../../src/runtime/kernel/kernel.js';
import {AnnouncedLimitService} from '../../src/services/admission/announced-limit-service.js';
import {LimitService} from '../../src/services/admission/limit-service.js';
import {OpenThresholdService} from '../../src/services/admission/open-threshold-service.js';
import {ThresholdService} from '../../src/services/admission/threshold-service.js';
import {RoutingService} from '../../src/services/routing/routing-service.js';
import {LearnedLimitService} from './learned-limit/learned-limit-service.js';
import {LateRefusalRoutingService} from './late-refusal-routing-service.js';
import {TurnRoutingService} from './turn-routing-service.js';

/** Decisions that the bench can replace by another form, by name. */
export const simplerForms: ReadonlyMap<string, (kernel: Kernel) => void> = new Map([
	['shed-limit', kernel => {
		kernel.register(LimitService, AnnouncedLimitService);
	}],
	['shed-limit-but-learned', kernel => {
		kernel.register(LimitService, LearnedLimitService);
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
