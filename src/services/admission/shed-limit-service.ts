import {type LimitService} from './limit-service.js';

/** Factor by which the limit is multiplied when the backend server sheds. */
const keptAfterShed = 0.8;
/** Time within which several sheds count as one. */
const shedSpanMs = 100;
/** Interval at which the limit is increased again. */
const growthIntervalMs = 1000;
/** Increase per interval as a fraction of the announced capacity, at least 1 call: the limit recovers from its minimum to the full capacity in ten seconds, whatever the capacity. */
const growthShare = 0.1;

/** Uses the announced capacity as the limit; decreases it by a factor when the backend server sheds, and then increases it by a constant each second (AIMD). */
export class ShedLimitService implements LimitService {
	private announced = 0;
	private identity = 0;
	private fallen = Number.POSITIVE_INFINITY;
	private shedAtMs = Number.NEGATIVE_INFINITY;

	get limit(): number {
		if (this.fallen >= this.announced) {
			return this.announced;
		}

		const intervals = Math.floor((performance.now() - this.shedAtMs) / growthIntervalMs);
		const regained = Math.floor(intervals * Math.max(1, this.announced * growthShare));
		return Math.min(this.announced, this.fallen + regained);
	}

	setAnnounced(slots: number, connections: number, identity: number): void {
		this.announced = Math.min(slots, connections);
		if (identity !== this.identity) {
			this.identity = identity;
			this.fallen = Number.POSITIVE_INFINITY;
		}
	}

	noteEnd(): void {
		// Nothing is learned from executions.
	}

	noteShed(running: number): void {
		const nowMs = performance.now();
		if (nowMs - this.shedAtMs < shedSpanMs) {
			return;
		}

		this.fallen = Math.max(1, Math.floor(Math.min(this.limit, running) * keptAfterShed));
		this.shedAtMs = nowMs;
	}
}
