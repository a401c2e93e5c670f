type Waiter = {
	readonly start: () => void;
	readonly signal: AbortSignal;
};

/** First-come, first-served queue for a backend server's slots. */
export class SlotQueue {
	private readonly waiters: Waiter[] = [];
	private usedSlots = 0;

	constructor(private readonly slots: number, private readonly capacity: number) {}

	get isFull(): boolean {
		return this.usedSlots >= this.slots && this.waiters.length >= this.capacity;
	}

	/** Resolves with true once a slot is acquired, or with false if the signal is aborted first. */
	async acquire(signal: AbortSignal): Promise<boolean> {
		if (this.usedSlots < this.slots) {
			this.usedSlots++;
			return true;
		}

		return new Promise(resolve => {
			const waiter: Waiter = {
				signal,
				start() {
					resolve(true);
				},
			};
			this.waiters.push(waiter);
			signal.addEventListener('abort', () => {
				const index = this.waiters.indexOf(waiter);
				if (index !== -1) {
					this.waiters.splice(index, 1);
					resolve(false);
				}
			}, {once: true});
		});
	}

	release(): void {
		const next = this.waiters.shift();
		if (next) {
			next.start();
			return;
		}

		this.usedSlots--;
	}
}
