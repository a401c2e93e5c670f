import {type LimitService} from './limit-service.js';

/** Part of the limit that is kept when the backend server sheds. */
const keptAfterShed = 0.8;
/** Time over which sheds count as one. */
const shedSpanMs = 100;
/** Time after which more is allowed again. */
const growthIntervalMs = 1000;
/** Part of the announced bounds that is allowed more then, at least one: from the least limit to all in ten seconds, whatever the size. */
const growthShare = 0.1;

/** Takes the announced bounds until the backend server sheds; then less, and a part more each second. */
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
