/** Time over which outcomes are judged together: shorter ones hold too few, longer ones let too many in vain. */
const intervalMs = 500;
/** Outcomes from which on an interval says something; fewer are judged with those of the next. */
const leastOutcomes = 8;
/** Share of roots that may end late: a few do so at any load, as they take longer than their route allows. */
const bearableShare = 0.1;
/** Rise in an interval in which all roots ended late: what is let in shows its effect after a second or so. */
const gain = 0.5;
/** Fall in an interval in which few enough ended late, and in one in which hardly any did. */
const probe = 0.05;
const quickFall = 0.15;
/** Share of late roots below which there is room to spare. */
const negligibleShare = 0.03;
/** Above every rank: nothing is admitted. */
const highestThreshold = 4;

/** Raises a refusal threshold while too many of the roots that were let in end late, and lowers it gently otherwise. */
export class LatenessThreshold {
	private value = 0;
	private sinceMs = performance.now();
	private late = 0;
	private total = 0;

	get threshold(): number {
		this.endInterval();
		return this.value;
	}

	/** Notes how a root ended that was let in. */
	note(isLate: boolean): void {
		this.endInterval();
		this.total++;
		this.late += isLate ? 1 : 0;
	}

	private endInterval(): void {
		const intervals = Math.floor((performance.now() - this.sinceMs) / intervalMs);
		if (intervals === 0) {
			return;
		}

		this.sinceMs += intervals * intervalMs;
		if (this.total >= leastOutcomes) {
			this.move(this.late / this.total, intervals);
			this.total = 0;
			this.late = 0;
		} else if (this.total === 0) {
			this.move(0, intervals);
		}
	}

	private move(lateShare: number, intervals: number): void {
		const fall = lateShare < negligibleShare ? quickFall : probe;
		const change = lateShare > bearableShare ? gain * (lateShare - bearableShare) : -fall * intervals;
		this.value = Math.min(highestThreshold, Math.max(0, this.value + change));
	}
}
