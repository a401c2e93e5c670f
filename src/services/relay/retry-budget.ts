type Counts = {
	requests: number;
	repetitions: number;
};

/** Parts of a window; counts are forgotten part by part. */
const slicesPerWindow = 10;

type BudgetSettings = {
	readonly ratio: number;
	readonly windowMs: number;
	readonly slack: number;
	/** Part of what the settings allow that this budget may use. */
	readonly share: number;
};

/** What this node may send again to one service in a window: a share of its own requests for it, and its part of the slack that all nodes have together. */
export class RetryBudget {
	private readonly slices = new Map<number, Counts>();

	constructor(private readonly settings: () => BudgetSettings, private readonly nodeCount: () => number) {}

	/** Counts requests, which may be an estimate. */
	noteRequests(count: number): void {
		this.current().requests += count;
	}

	/** Whether so many repetitions are left in a part of the budget. */
	has(count: number, part = 1): boolean {
		const {ratio, slack, share} = this.settings();
		const {requests, repetitions} = this.sum();
		const allowed = ((requests * ratio) + (slack / Math.max(1, this.nodeCount()))) * share;
		return repetitions + count <= allowed * part;
	}

	/** Counts repetitions, allowed or not. */
	take(count: number): void {
		this.current().repetitions += count;
	}

	private sum(): Counts {
		const oldest = this.sliceNumber() - slicesPerWindow;
		const total = {requests: 0, repetitions: 0};
		for (const [number, counts] of this.slices) {
			if (number <= oldest) {
				this.slices.delete(number);
				continue;
			}

			total.requests += counts.requests;
			total.repetitions += counts.repetitions;
		}

		return total;
	}

	private current(): Counts {
		const number = this.sliceNumber();
		const counts = this.slices.get(number) ?? {requests: 0, repetitions: 0};
		this.slices.set(number, counts);
		return counts;
	}

	private sliceNumber(): number {
		return Math.floor(performance.now() * slicesPerWindow / this.settings().windowMs);
	}
}
