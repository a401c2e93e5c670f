/** Resolution: fine enough that within a class a single step is a few percent of the demand. */
const stepsPerRank = 32;
/** Time constant of the exponential decay, in which demand falls to about a third: long enough to cover all classes, short enough to follow a burst. */
const decayTimeConstantMs = 3000;
/** Minimum time between two updates of the decay. */
const decayIntervalMs = 250;
const msPerSecond = 1000;

/** Recent demand for a service, by rank. */
export class DemandByRank {
	private readonly work: number[] = [];
	private total = 0;
	private decayedAtMs = performance.now();

	/** Recent work per second. */
	get perSecond(): number {
		this.decay();
		return this.total * msPerSecond / decayTimeConstantMs;
	}

	/** Records the work of a request; the rank is 0 or more. */
	record(rank: number, work: number): void {
		this.decay();
		const step = Math.floor(rank * stepsPerRank);
		while (this.work.length <= step) {
			this.work.push(0);
		}

		this.work[step] += work;
		this.total += work;
	}

	/** Fraction of the demand that comes from requests of a higher rank. */
	fractionAbove(rank: number): number {
		if (this.total === 0) {
			return 0;
		}

		const position = rank * stepsPerRank;
		const step = Math.floor(position);
		let above = (this.work[step] ?? 0) * (1 - (position - step));
		for (let higher = step + 1; higher < this.work.length; higher++) {
			above += this.work[higher];
		}

		return above / this.total;
	}

	private decay(): void {
		const elapsedMs = performance.now() - this.decayedAtMs;
		if (elapsedMs < decayIntervalMs) {
			return;
		}

		const decayFactor = Math.exp(-elapsedMs / decayTimeConstantMs);
		this.decayedAtMs += elapsedMs;
		this.total = 0;
		for (const [step, work] of this.work.entries()) {
			this.work[step] = work * decayFactor;
			this.total += this.work[step];
		}
	}
}
