/** Interval over which outcomes are evaluated; twice the typical answer time of a chain. */
const intervalMs = 500;
/** Minimum number of outcomes to evaluate; fewer are carried over to the next interval. */
const leastOutcomes = 8;
/** Acceptable fraction of late root requests: a few are late at any load because their work takes longer than the timeout of their route. */
const acceptableLateShare = 0.1;
/** Fraction of the share that remains after a reduction if all root requests were late. */
const leastKept = 0.5;
/** Share that is always admitted, so that the end of an overload is detected. */
const leastShare = 0.05;
/** Growth of the share per second, relative to its value and as a minimum: from the minimum share to 1 within the 15 s in which a call graph must recover. */
const relativeGrowth = 0.15;
const leastGrowth = 0.07;
const msPerSecond = 1000;

/**
Admitted share of root requests, reduced while too many of them end late.

Only root requests that entered after the last reduction count towards the next one: earlier ones do not show its effect yet.
*/
export class AdmittedShare {
	private value = 1;
	private grownAtMs = performance.now();
	private intervalSinceMs = performance.now();
	private reducedAtMs = Number.NEGATIVE_INFINITY;
	private late = 0;
	private total = 0;

	get share(): number {
		this.update();
		return this.value;
	}

	/** Records the outcome of a root request that entered at this time of the monotonic clock. */
	noteOutcome(isLate: boolean, enteredAtMs: number): void {
		if (enteredAtMs >= this.reducedAtMs) {
			this.total++;
			this.late += isLate ? 1 : 0;
		}

		this.update();
	}

	private update(): void {
		const nowMs = performance.now();
		this.grow(nowMs);
		if (nowMs - this.intervalSinceMs < intervalMs || this.total < leastOutcomes) {
			return;
		}

		const lateShare = this.late / this.total;
		this.intervalSinceMs = nowMs;
		this.late = 0;
		this.total = 0;
		if (lateShare > acceptableLateShare) {
			const excess = (lateShare - acceptableLateShare) / (1 - acceptableLateShare);
			this.value = Math.max(leastShare, this.value * (1 - (excess * (1 - leastKept))));
			this.reducedAtMs = nowMs;
		}
	}

	private grow(nowMs: number): void {
		const seconds = (nowMs - this.grownAtMs) / msPerSecond;
		this.grownAtMs = nowMs;
		this.value = Math.min(1, this.value + (Math.max(leastGrowth, this.value * relativeGrowth) * seconds));
	}
}
