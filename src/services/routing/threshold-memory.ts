import {type HeardThreshold} from '../admission/heard-threshold.js';

type Memory = {
	threshold: number;
	/** By the monotonic clock, less the age that the threshold had on arrival. */
	heardAtMs: number;
	/** When the threshold was last above 0. */
	raisedAtMs: number;
};

/** Age up to which a threshold applies unchanged. */
const freshMs = 1000;
/** Time over which a threshold that is no longer fresh decays to 0. */
const forgettingMs = 2000;

/** Latest threshold of each service as received in replies; decays with age. */
export class ThresholdMemory {
	private readonly memories = new Map<string, Memory>();

	/** Thresholds to include in replies to other nodes: those that are or recently were above 0. */
	get heard(): HeardThreshold[] {
		const nowMs = performance.now();
		const heard: HeardThreshold[] = [];
		for (const [service, {threshold, heardAtMs, raisedAtMs}] of this.memories) {
			if (nowMs - raisedAtMs < freshMs + forgettingMs) {
				heard.push({service, threshold, ageMs: Math.round(nowMs - heardAtMs)});
			}
		}

		return heard;
	}

	/** Records a threshold unless a later one is known. */
	hear({service, threshold, ageMs}: HeardThreshold): void {
		const heardAtMs = performance.now() - ageMs;
		const known = this.memories.get(service);
		if (known && known.heardAtMs >= heardAtMs) {
			return;
		}

		const raisedAtMs = threshold > 0 ? heardAtMs : known?.raisedAtMs ?? Number.NEGATIVE_INFINITY;
		this.memories.set(service, {threshold, heardAtMs, raisedAtMs});
	}

	/** Returns the threshold of a service, reduced by its age; 0 if none is known. */
	thresholdOf(service: string): number {
		const memory = this.memories.get(service);
		if (!memory) {
			return 0;
		}

		const staleMs = Math.max(0, performance.now() - memory.heardAtMs - freshMs);
		return memory.threshold * Math.max(0, 1 - (staleMs / forgettingMs));
	}
}
