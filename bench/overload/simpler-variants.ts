import {type Kernel} from '../../src/runtime/kernel/kernel.js';
import {AnnouncedLimitService} from '../../src/services/admission/announced-limit-service.js';
import {ConcurrencyLimitService} from '../../src/services/admission/limit-service.js';
import {AdmitAllThresholdService} from '../../src/services/admission/admit-all-threshold-service.js';
import {ThresholdService} from '../../src/services/admission/threshold-service.js';
import {RoutingService} from '../../src/services/routing/routing-service.js';
import {LearnedLimitService} from './learned-limit/learned-limit-service.js';
import {LateRefusalRoutingService} from './late-refusal-routing-service.js';
import {RoundRobinRoutingService} from './round-robin-routing-service.js';

/** Variants that the benchmark can use in place of a mechanism, by the name given with `--without`. */
export const simplerVariants: ReadonlyMap<string, (kernel: Kernel) => void> = new Map([
	['shed-limit', kernel => {
		kernel.register(ConcurrencyLimitService, AnnouncedLimitService);
	}],
	['shed-limit-but-learned', kernel => {
		kernel.register(ConcurrencyLimitService, LearnedLimitService);
	}],
	['threshold', kernel => {
		kernel.register(ThresholdService, AdmitAllThresholdService);
	}],
	['two-choices', kernel => {
		kernel.register(RoutingService, RoundRobinRoutingService);
	}],
	['early-refusal', kernel => {
		kernel.register(RoutingService, LateRefusalRoutingService);
	}],
]);
