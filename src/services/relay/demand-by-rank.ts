/** Steps of rank that are told apart: within a class fine enough that single steps are a few percent of the demand. */
const stepsPerRank = 32;
/** Time in which demand that is not renewed falls to a third: long enough to hold all classes, short enough to follow a burst. */
const memoryMs = 3000;
/** Time after which what was noted is aged. */
const agingIntervalMs = 250;

/** Work that was asked of a service of late, by rank. */
export class DemandByRank {
	private readonly work: number[] = [];
	private total = 0;
	private agedAtMs = performance.now();

	/** Notes a request of a rank of 0 or more that means so much work. */
	note(rank: number, work: number): void {
		this.age();
		const step = Math.floor(rank * stepsPerRank);
		while (this.work.length <= step) {
			this.work.push(0);
		}

		this.work[step] += work;
		this.total += work;
	}

	/** Share of the work that requests of a higher rank ask for. */
	shareAbove(rank: number): number {
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

	private age(): void {
		const elapsedMs = performance.now() - this.agedAtMs;
		if (elapsedMs < agingIntervalMs) {
			return;
		}

		const kept = Math.exp(-elapsedMs / memoryMs);
		this.agedAtMs += elapsedMs;
		this.total = 0;
		for (const [step, work] of this.work.entries()) {
			this.work[step] = work * kept;
			this.total += this.work[step];
		}
	}
}
