/** Retries that a node may make in excess of the fraction, so that a single failure under little traffic can be retried. */
const burst = 10;

/** Limits a node's retries to a fraction of its calls: each call earns a part of a retry (a token bucket). */
export class RetryTokenBucket {
	private tokens = burst;

	/** Earns a part of a retry. */
	earn(fraction: number): void {
		this.tokens = Math.min(burst, this.tokens + fraction);
	}

	/** Takes one retry; false if less than one is left. */
	take(): boolean {
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}

	/** Gives back a retry that was not made. */
	giveBack(): void {
		this.tokens = Math.min(burst, this.tokens + 1);
	}
}
