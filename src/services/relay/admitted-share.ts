/** Time over which outcomes are judged together; twice a chain's usual answer time. */
const intervalMs = 500;
/** Fewest outcomes that are judged; fewer wait for those of the next interval. */
const leastOutcomes = 8;
/** Share of late roots that is accepted: a few are late at any load, as their work takes longer than their route allows. */
const acceptableLateShare = 0.1;
/** Part of the share that is kept when all roots were late. */
const leastKept = 0.5;
/** Share that is always admitted, so that the end of an overload is noticed. */
const leastShare = 0.05;
/** Growth of the share in a second: in relation to itself, and at least; from the least share to all in the 15 s that a graph has to recover. */
const relativeGrowth = 0.15;
const leastGrowth = 0.07;
const msPerSecond = 1000;

/**
Share of the roots that may enter, lowered while too many of them end late.

Only roots that entered after the last reduction count towards the next: the others do not show its effect yet.
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

	/** Notes the outcome of a root that entered at a time of the steady clock. */
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
