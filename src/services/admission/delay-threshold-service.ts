import {type QueueState} from './queue-state.js';
import {type ThresholdService} from './threshold-service.js';

/** Above every rank, so that nothing is admitted. */
const highestThreshold = 4;
const shortestIntervalMs = 100;
const lowestTargetMs = 20;
/** Standing queueing delay that keeps a backend server busy, as a multiple of its self time. */
const targetShareOfOwnTime = 1;
/** Increase in an interval with a delay of twice the target; it is proportional to the excess, up to `maxIncrease`. */
const gain = 0.1;
const largestRise = 0.4;
/** Decrease in an interval without standing delay. */
const probe = 0.05;
/** Fraction of the threshold that is removed in an interval in which the backend server had free capacity throughout. */
const roomDecay = 0.85;
/** Fraction of the time for which even a fully loaded backend server happens to have free capacity. */
const chanceRoomShare = 0.1;
const negligible = 0.02;
/** Maximum number of intervals without an observation that are made up for. */
const caughtUpIntervals = 20;

/**
Raises the threshold while there is a standing queue: as in CoDel, the minimum delay of an interval decides.
Lowers it slowly while the backend server is full, and quickly once there is free capacity.
*/
export class DelayThresholdService implements ThresholdService {
	private value = 0;
	private intervalFromMs = performance.now();
	private observedAtMs = performance.now();
	private leastDelayMs = Number.POSITIVE_INFINITY;
	private fullMs = 0;
	private last: QueueState = {oldestWaitMs: 0, isFull: false, ownTimeMs: 0};

	get threshold(): number {
		return this.value;
	}

	observe(state: QueueState): void {
		const nowMs = performance.now();
		this.fullMs += this.last.isFull ? nowMs - this.observedAtMs : 0;
		this.observedAtMs = nowMs;
		this.last = state;
		this.leastDelayMs = Math.min(this.leastDelayMs, state.oldestWaitMs);

		const intervalMs = Math.max(shortestIntervalMs, state.ownTimeMs);
		const passedMs = nowMs - this.intervalFromMs;
		if (passedMs >= intervalMs) {
			this.endIntervals(passedMs, Math.floor(passedMs / intervalMs));
		}
	}

	/** Adjusts the threshold for the time since the last interval ended, which spans several intervals if nothing was observed. */
	private endIntervals(passedMs: number, count: number): void {
		const roomShare = Math.max(0, 1 - (this.fullMs / passedMs) - chanceRoomShare);
		const targetMs = Math.max(lowestTargetMs, this.last.ownTimeMs * targetShareOfOwnTime);
		const excess = (this.leastDelayMs - targetMs) / targetMs;
		if (excess > 0) {
			this.value = Math.min(highestThreshold, this.value + Math.min(largestRise, gain * excess));
		} else {
			this.lower(roomShare, Math.min(count, caughtUpIntervals));
		}

		this.intervalFromMs += passedMs;
		this.leastDelayMs = this.last.oldestWaitMs;
		this.fullMs = 0;
	}

	private lower(roomShare: number, intervals: number): void {
		for (let index = 0; index < intervals; index++) {
			this.value = (this.value * (1 - (roomDecay * roomShare))) - probe;
		}

		this.value = this.value < negligible ? 0 : this.value;
	}
}
