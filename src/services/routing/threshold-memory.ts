import {type HeardThreshold} from '../admission/heard-threshold.js';

type Memory = {
	threshold: number;
	/** Monotonic clock. */
	heardAtMs: number;
	/** When the threshold was last above 0. */
	raisedAtMs: number;
};

/** Age up to which a threshold stands as it was heard. */
const freshMs = 1000;
/** Time over which a threshold that is no longer fresh is forgotten. */
const forgettingMs = 2000;

/** What replies said of services' refusal thresholds, forgotten with time. */
export class ThresholdMemory {
	private readonly memories = new Map<string, Memory>();

	/** Thresholds worth passing on: those above 0, or above it of late. */
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

	/** Takes a threshold over unless a later one is known. */
	hear({service, threshold, ageMs}: HeardThreshold): void {
		const heardAtMs = performance.now() - ageMs;
		const known = this.memories.get(service);
		if (known && known.heardAtMs >= heardAtMs) {
			return;
		}

		const raisedAtMs = threshold > 0 ? heardAtMs : known?.raisedAtMs ?? Number.NEGATIVE_INFINITY;
		this.memories.set(service, {threshold, heardAtMs, raisedAtMs});
	}

	/** Threshold of a service as far as it is remembered. */
	thresholdOf(service: string): number {
		const memory = this.memories.get(service);
		if (!memory) {
			return 0;
		}

		const staleMs = Math.max(0, performance.now() - memory.heardAtMs - freshMs);
		return memory.threshold * Math.max(0, 1 - (staleMs / forgettingMs));
	}
}
