import {type ForwardedThreshold} from '../admission/forwarded-threshold.js';

type KnownThreshold = {
	threshold: number;
	/** By the monotonic clock, less the age that the threshold had on arrival. */
	reportedAtMs: number;
	/** When the threshold was last above 0. */
	lastAboveZeroAtMs: number;
};

/** Age up to which a threshold applies unchanged. */
const freshMs = 1000;
/** Time over which a threshold that is no longer fresh decays to 0. */
const decayMs = 2000;

/** Latest threshold of each service as received in replies; decays with age. */
export class ThresholdCache {
	private readonly knownThresholds = new Map<string, KnownThreshold>();

	/** Thresholds to include in replies to other nodes: those that are or recently were above 0. */
	get heard(): ForwardedThreshold[] {
		const nowMs = performance.now();
		const heard: ForwardedThreshold[] = [];
		for (const [service, {threshold, reportedAtMs, lastAboveZeroAtMs}] of this.knownThresholds) {
			if (nowMs - lastAboveZeroAtMs < freshMs + decayMs) {
				heard.push({service, threshold, ageMs: Math.round(nowMs - reportedAtMs)});
			}
		}

		return heard;
	}

	/** Records a threshold unless a later one is known. */
	record({service, threshold, ageMs}: ForwardedThreshold): void {
		const reportedAtMs = performance.now() - ageMs;
		const known = this.knownThresholds.get(service);
		if (known && known.reportedAtMs >= reportedAtMs) {
			return;
		}

		const lastAboveZeroAtMs = threshold > 0 ? reportedAtMs : known?.lastAboveZeroAtMs ?? Number.NEGATIVE_INFINITY;
		this.knownThresholds.set(service, {threshold, reportedAtMs, lastAboveZeroAtMs});
	}

	/** Returns the threshold of a service, reduced by its age; 0 if none is known. */
	thresholdOf(service: string): number {
		const known = this.knownThresholds.get(service);
		if (!known) {
			return 0;
		}

		const staleMs = Math.max(0, performance.now() - known.reportedAtMs - freshMs);
		return known.threshold * Math.max(0, 1 - (staleMs / decayMs));
	}
}
