/** Retries that a node may make beyond its share, so that a single failure of little traffic can be retried. */
const burst = 10;

/** Keeps a node's retries under a share of its fresh calls: each call earns a part of a retry (a token bucket). */
export class RetryShare {
	private tokens = burst;

	/** Earns a part of a retry. */
	earn(share: number): void {
		this.tokens = Math.min(burst, this.tokens + share);
	}

	/** Takes one retry; false when none has been earned. */
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
