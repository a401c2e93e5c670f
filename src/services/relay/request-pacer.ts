/** Time for which unused requests of the limit add up. */
const burstMs = 250;
/** Lowest rate: without any request, there would be no answer that states a higher limit or none. */
const minRequestsPerSecond = 0.25;
const msPerSecond = 1000;

/** Limits the rate of requests to a backend server that states a limit; a token bucket. */
export class RequestPacer {
	private rate = Number.POSITIVE_INFINITY;
	private tokens = 0;
	private refilledAtMs = 0;

	/** Requests per second; infinite without a limit. */
	get requestsPerSecond(): number {
		return this.rate;
	}

	/** Time until the next request may be sent; 0 if one may be sent now. */
	get waitMs(): number {
		return this.waitMsOf(0);
	}

	/** Sets the limit in requests per second; undefined removes it. Returns whether the limit has changed. */
	setLimit(requestsPerSecond: number | undefined): boolean {
		const rate = requestsPerSecond === undefined ? Number.POSITIVE_INFINITY : Math.max(minRequestsPerSecond, requestsPerSecond);
		if (rate === this.rate) {
			return false;
		}

		this.refill();
		this.tokens = this.rate === Number.POSITIVE_INFINITY ? 0 : Math.min(this.tokens, maxTokens(rate));
		this.rate = rate;
		return true;
	}

	/** Counts a request if it may be sent now. */
	tryTake(): boolean {
		if (this.rate === Number.POSITIVE_INFINITY) {
			return true;
		}

		this.refill();
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}

	/** Time until a request may be sent that `ahead` others precede. */
	waitMsOf(ahead: number): number {
		if (this.rate === Number.POSITIVE_INFINITY) {
			return 0;
		}

		this.refill();
		return Math.max(0, ahead + 1 - this.tokens) * msPerSecond / this.rate;
	}

	private refill(): void {
		const nowMs = performance.now();
		if (this.rate !== Number.POSITIVE_INFINITY) {
			this.tokens = Math.min(maxTokens(this.rate), this.tokens + ((nowMs - this.refilledAtMs) * this.rate / msPerSecond));
		}

		this.refilledAtMs = nowMs;
	}
}

function maxTokens(rate: number): number {
	return Math.max(1, rate * burstMs / msPerSecond);
}
