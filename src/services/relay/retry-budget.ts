type Counts = {
	requests: number;
	retries: number;
};

/** Slices of a window; counts expire slice by slice. */
const slicesPerWindow = 10;

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
		const {ratio, slack, fraction} = this.settings();
		const {requests, retries} = this.sum();
		const allowed = ((requests * ratio) + (slack / Math.max(1, this.nodeCount()))) * fraction;
		return retries + count <= allowed * usableFraction;
	}

	/** Counts retries, whether or not the budget allowed them. */
	recordRetries(count: number): void {
		this.current().retries += count;
	}

	private sum(): Counts {
		const oldest = this.sliceNumber() - slicesPerWindow;
		const total = {requests: 0, retries: 0};
		for (const [number, counts] of this.slices) {
			if (number <= oldest) {
				this.slices.delete(number);
				continue;
			}

			total.requests += counts.requests;
			total.retries += counts.retries;
		}

		return total;
	}

	private current(): Counts {
		const number = this.sliceNumber();
		const counts = this.slices.get(number) ?? {requests: 0, retries: 0};
		this.slices.set(number, counts);
		return counts;
	}

	private sliceNumber(): number {
		return Math.floor(performance.now() * slicesPerWindow / this.settings().windowMs);
	}
}
