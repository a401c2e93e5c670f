type Counts = {
	requests: number;
	repetitions: number;
};

/** Parts of a window; counts are forgotten part by part. */
const slicesPerWindow = 10;
/** Share of what the settings allow that is used: repetitions cause repeated calls deeper down, which no node counts. */
const usedShare = 0.5;

type BudgetSettings = {
	readonly ratio: number;
	readonly windowMs: number;
	readonly slack: number;
};

/** What this node may send again to one service in a window: a share of its own requests for it, and its part of the slack that all nodes have together. */
export class RetryBudget {
	private readonly slices = new Map<number, Counts>();

	constructor(private readonly settings: () => BudgetSettings, private readonly nodeCount: () => number) {}

	noteRequest(): void {
		this.current().requests++;
	}

	/** Takes a repetition from the budget; false when nothing is left. */
	take(): boolean {
		const {ratio, slack} = this.settings();
		const {requests, repetitions} = this.sum();
		const allowed = ((requests * ratio) + (slack / Math.max(1, this.nodeCount()))) * usedShare;
		if (repetitions + 1 > allowed) {
			return false;
		}

		this.current().repetitions++;
		return true;
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
