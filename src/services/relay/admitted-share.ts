/** Interval over which outcomes are evaluated; twice the typical answer time of a chain. */
const intervalMs = 500;
/** Minimum number of outcomes to evaluate; fewer are carried over to the next interval. */
const minOutcomes = 8;
/** Acceptable fraction of late root requests: a few are late at any load because their work takes longer than the timeout of their route. */
const acceptableLateFraction = 0.1;
/** Fraction of the share that remains after a reduction if all root requests were late. */
const minRetainedFraction = 0.5;
/** Share that is always admitted, so that the end of an overload is detected. */
const minShare = 0.05;
/** Growth of the share per second, relative to its value and as a minimum: from the minimum share to 1 within the 15 s in which a call graph must recover. */
const relativeGrowth = 0.15;
const minGrowth = 0.07;
const msPerSecond = 1000;

/**
Admitted share of root requests, reduced while too many of them end late.

Only root requests that entered after the last reduction count towards the next one: earlier ones do not show its effect yet.
*/
export class AdmittedShare {
	private value = 1;
	private lastGrowthAtMs = performance.now();
	private intervalStartMs = performance.now();
	private reducedAtMs = Number.NEGATIVE_INFINITY;
	private late = 0;
	private total = 0;

	get share(): number {
		this.update();
		return this.value;
	}

	/** Records the outcome of a root request that entered at this time of the monotonic clock. */
	recordOutcome(isLate: boolean, enteredAtMs: number): void {
		if (enteredAtMs >= this.reducedAtMs) {
			this.total++;
			this.late += isLate ? 1 : 0;
		}

		this.update();
	}

	private update(): void {
		const nowMs = performance.now();
		this.grow(nowMs);
		if (nowMs - this.intervalStartMs < intervalMs || this.total < minOutcomes) {
			return;
		}

		const lateFraction = this.late / this.total;
		this.intervalStartMs = nowMs;
		this.late = 0;
		this.total = 0;
		if (lateFraction > acceptableLateFraction) {
			const excess = (lateFraction - acceptableLateFraction) / (1 - acceptableLateFraction);
			this.value = Math.max(minShare, this.value * (1 - (excess * (1 - minRetainedFraction))));
			this.reducedAtMs = nowMs;
		}
	}

	private grow(nowMs: number): void {
		const seconds = (nowMs - this.lastGrowthAtMs) / msPerSecond;
		this.lastGrowthAtMs = nowMs;
		this.value = Math.min(1, this.value + (Math.max(minGrowth, this.value * relativeGrowth) * seconds));
	}
}
