import {type QueueState} from './queue-state.js';
import {type ThresholdService} from './threshold-service.js';

/** Above every rank: nothing is admitted. */
const highestThreshold = 4;
const shortestIntervalMs = 100;
const lowestTargetMs = 20;
/** Standing delay that keeps a backend server busy, in relation to its own time. */
const targetShareOfOwnTime = 1;
/** Rise in an interval for a delay that is above the target by the target itself, and the greatest. */
const gain = 0.1;
const largestRise = 0.4;
/** Fall in an interval without standing delay. */
const probe = 0.05;
/** Part of the threshold that falls away in an interval in which the backend server had room all the time. */
const roomDecay = 0.85;
/** Room that a full backend server has by chance. */
const chanceRoomShare = 0.1;
const negligible = 0.02;
/** Intervals without any observation that are caught up on. */
const caughtUpIntervals = 20;

/**
Raises the threshold while the delay in the queue is standing (the idea of CoDel: the least delay of an interval counts),
lowers it gently while the backend server is full, and drops it fast once there is room.
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

	/** Acts on the time since the last interval ended, which is several intervals when nothing was observed. */
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
