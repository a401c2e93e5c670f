import {type ConcurrencyLimitService} from './concurrency-limit-service.js';

/** Factor by which the limit is multiplied when the backend server sheds. */
const decreaseFactor = 0.8;
/** Time within which several sheds count as one. */
const shedWindowMs = 100;
/** Interval at which the limit is increased again. */
const increaseIntervalMs = 1000;
/** Increase per interval as a fraction of the announced capacity, at least 1 call: the limit recovers from its minimum to the full capacity within ten seconds, whatever the capacity. */
const increaseFraction = 0.1;

/** Uses the announced capacity as the limit; decreases it by a factor when the backend server sheds, and then increases it by a constant each second (AIMD). */
export class AimdLimitService implements ConcurrencyLimitService {
	private announcedCapacity = 0;
	private identity = 0;
	private reducedLimit = Number.POSITIVE_INFINITY;
	private shedAtMs = Number.NEGATIVE_INFINITY;

	get limit(): number {
		if (this.reducedLimit >= this.announcedCapacity) {
			return this.announcedCapacity;
		}

		const intervals = Math.floor((performance.now() - this.shedAtMs) / increaseIntervalMs);
		const recovered = Math.floor(intervals * Math.max(1, this.announcedCapacity * increaseFraction));
		return Math.min(this.announcedCapacity, this.reducedLimit + recovered);
	}

	setAnnouncedCapacity(slots: number, connections: number, identity: number): void {
		this.announcedCapacity = Math.min(slots, connections);
		if (identity !== this.identity) {
			this.identity = identity;
			this.reducedLimit = Number.POSITIVE_INFINITY;
		}
	}

	recordExecution(): void {
		// Nothing is learned from executions.
	}

	recordShed(running: number): void {
		const nowMs = performance.now();
		if (nowMs - this.shedAtMs < shedWindowMs) {
			return;
		}

		this.reducedLimit = Math.max(1, Math.floor(Math.min(this.limit, running) * decreaseFactor));
		this.shedAtMs = nowMs;
	}
}
