import {type ForwardedRefusalRate} from '../admission/forwarded-refusal-rate.js';
import {type ForwardedThreshold} from '../admission/forwarded-threshold.js';
import {ThresholdCache} from '../routing/threshold-cache.js';
import {type CallCounts, type CallGraphService} from './call-graph-service.js';

/** Weight of the latest execution in the moving averages. */
const latestWeight = 0.1;
/** Lower means are dropped: the route no longer makes such calls. */
const negligibleMean = 0.02;

/** Learns the call graph from the call counts in replies. */
export class LearnedCallGraphService implements CallGraphService {
	private readonly meansByRoute = new Map<string, Map<string, number>>();
	private readonly thresholds = new ThresholdCache();
	private readonly refusalRates = new ThresholdCache();

	get heard(): readonly ForwardedThreshold[] {
		return this.thresholds.heard;
	}

	get refusals(): readonly ForwardedRefusalRate[] {
		return this.refusalRates.heard.map(({service, threshold, ageMs}) => ({service, rate: threshold, ageMs}));
	}

	recordCalls(route: string, calls: CallCounts, isComplete: boolean): void {
		const means = this.meansByRoute.get(route);
		if (!means) {
			this.meansByRoute.set(route, new Map(Object.entries(calls)));
			return;
		}

		for (const service of new Set([...means.keys(), ...Object.keys(calls)])) {
			const mean = means.get(service) ?? 0;
			const count = calls[service] ?? 0;
			const next = mean + ((isComplete ? count - mean : Math.max(0, count - mean)) * latestWeight);
			if (next < negligibleMean) {
				means.delete(service);
			} else {
				means.set(service, next);
			}
		}
	}

	callsOf(route: string): ReadonlyMap<string, number> {
		return this.meansByRoute.get(route) ?? new Map();
	}

	recordThreshold(service: string, threshold: number, heard: readonly ForwardedThreshold[] = []): void {
		for (const other of heard) {
			this.thresholds.record(other);
		}

		this.thresholds.record({service, threshold, ageMs: 0});
	}

	recordRefusalRate(service: string, rate: number | undefined, refusals: readonly ForwardedRefusalRate[] = []): void {
		for (const other of refusals) {
			this.refusalRates.record({service: other.service, threshold: other.rate, ageMs: other.ageMs});
		}

		if (rate !== undefined) {
			this.refusalRates.record({service, threshold: rate, ageMs: 0});
		}
	}

	refusalRateOf(service: string): number {
		return this.refusalRates.thresholdOf(service);
	}

	thresholdOf(service: string): number {
		return this.thresholds.thresholdOf(service);
	}
}
