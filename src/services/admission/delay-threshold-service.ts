import {type QueueState} from './queue-state.js';
import {type ThresholdService} from './threshold-service.js';

/** Above every rank, so that nothing is admitted. */
const maxThreshold = 4;
const minIntervalMs = 100;
const minTargetMs = 20;
/** Standing queueing delay that keeps a backend server busy, as a multiple of its self time. */
const targetPerSelfTime = 1;
/** Increase in an interval with a delay of twice the target; it is proportional to the excess, up to `maxIncrease`. */
const gain = 0.1;
const maxIncrease = 0.4;
/** Decrease in an interval without standing delay. */
const decreaseStep = 0.05;
/** Fraction of the threshold that is removed in an interval, multiplied by the fraction of the time in which the backend server had free capacity. */
const freeCapacityDecay = 0.85;
/** Fraction of the time for which even a fully loaded backend server happens to have free capacity. */
const incidentalFreeFraction = 0.1;
const negligibleThreshold = 0.02;
/** Maximum number of intervals without an observation that are made up for. */
const maxCatchUpIntervals = 20;

/**
Raises the threshold while there is a standing queue: as in CoDel, the minimum delay of an interval decides.
Lowers it slowly while the backend server is full, and quickly once there is free capacity.
*/
export class DelayThresholdService implements ThresholdService {
	private value = 0;
	private intervalStartMs = performance.now();
	private lastObservedAtMs = performance.now();
	private minDelayMs = Number.POSITIVE_INFINITY;
	private fullMs = 0;
	private lastState: QueueState = {oldestWaitMs: 0, isFull: false, selfTimeMs: 0};

	get threshold(): number {
		return this.value;
	}

	observe(state: QueueState): void {
		const nowMs = performance.now();
		this.fullMs += this.lastState.isFull ? nowMs - this.lastObservedAtMs : 0;
		this.lastObservedAtMs = nowMs;
		this.lastState = state;
		this.minDelayMs = Math.min(this.minDelayMs, state.oldestWaitMs);

		const intervalMs = Math.max(minIntervalMs, state.selfTimeMs);
		const passedMs = nowMs - this.intervalStartMs;
		if (passedMs >= intervalMs) {
			this.endIntervals(passedMs, Math.floor(passedMs / intervalMs));
		}
	}

	/** Adjusts the threshold for the time since the last interval ended, which spans several intervals if nothing was observed. */
	private endIntervals(passedMs: number, count: number): void {
		const freeFraction = Math.max(0, 1 - (this.fullMs / passedMs) - incidentalFreeFraction);
		const targetMs = Math.max(minTargetMs, this.lastState.selfTimeMs * targetPerSelfTime);
		const excess = (this.minDelayMs - targetMs) / targetMs;
		if (excess > 0) {
			this.value = Math.min(maxThreshold, this.value + Math.min(maxIncrease, gain * excess));
		} else {
			this.decrease(freeFraction, Math.min(count, maxCatchUpIntervals));
		}

		this.intervalStartMs += passedMs;
		this.minDelayMs = this.lastState.oldestWaitMs;
		this.fullMs = 0;
	}

	private decrease(freeFraction: number, intervals: number): void {
		for (let index = 0; index < intervals; index++) {
			this.value = (this.value * (1 - (freeCapacityDecay * freeFraction))) - decreaseStep;
		}

		this.value = this.value < negligibleThreshold ? 0 : this.value;
	}
}
