type Counts = {
	requests: number;
	retries: number;
};

/** Slices of a window; counts expire slice by slice. */
const slicesPerWindow = 10;
const msPerSecond = 1000;

type BudgetSettings = {
	readonly ratio: number;
	readonly windowMs: number;
	readonly slack: number;
	/** Fraction of the retries allowed by the settings that this budget may use. */
	readonly fraction: number;
};

/** Retry budget of this node for one service over a sliding window: a ratio of its own requests, plus its part of the slack that all nodes share. */
export class RetryBudget {
	private readonly slices = new Map<number, Counts>();

	constructor(private readonly settings: () => BudgetSettings, private readonly nodeCount: () => number) {}

	/** Counts requests; the number may be an estimate. */
	recordRequests(count: number): void {
		this.current().requests += count;
	}

	/** Whether a fraction of the budget still allows this many retries. */
	allows(count: number, usableFraction = 1): boolean {
		return this.recentRetries + count <= this.allowedPerWindow * usableFraction;
	}

	/** Retries per second that the budget allows in the mean over a window. */
	get retriesPerSecond(): number {
		return this.allowedPerWindow * msPerSecond / this.settings().windowMs;
	}

	/** Counts retries, whether or not the budget allowed them. */
	recordRetries(count: number): void {
		this.current().retries += count;
	}

	/** The requests are those of the current window, of the one before it, or of the one half a window before it, whichever has most. */
	private get allowedPerWindow(): number {
		const {ratio, slack, fraction} = this.settings();
		const requests = Math.max(this.requestsIn(0), this.requestsIn(slicesPerWindow / 2), this.requestsIn(slicesPerWindow));
		return ((requests * ratio) + (slack / Math.max(1, this.nodeCount()))) * fraction;
	}

	/** Retries in the current window, which begins within a slice: all of that slice count. */
	private get recentRetries(): number {
		const latest = this.sliceNumber();
		let total = 0;
		for (const [number, {retries}] of this.slices) {
			total += number >= latest - slicesPerWindow ? retries : 0;
		}

		return total;
	}

	/** Requests in the window that ended this many slices ago. */
	private requestsIn(slicesAgo: number): number {
		const latest = this.sliceNumber() - slicesAgo;
		let total = 0;
		for (const [number, {requests}] of this.slices) {
			total += number <= latest && number > latest - slicesPerWindow ? requests : 0;
		}

		return total;
	}

	private current(): Counts {
		const number = this.sliceNumber();
		const known = this.slices.get(number);
		if (known) {
			return known;
		}

		for (const older of this.slices.keys()) {
			if (older < number - (slicesPerWindow * 2)) {
				this.slices.delete(older);
			}
		}

		const counts = {requests: 0, retries: 0};
		this.slices.set(number, counts);
		return counts;
	}

	private sliceNumber(): number {
		return Math.floor(performance.now() * slicesPerWindow / this.settings().windowMs);
	}
}
