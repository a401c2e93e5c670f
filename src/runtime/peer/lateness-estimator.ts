/**
Estimates how long the messages of one connection were delayed in transit, using only monotonic clocks.

The fastest message so far determines the offset between both clocks. As a hello must arrive before the connection counts
as open, the estimate is too low by at most the time allowed for the hello.
*/
export class LatenessEstimator {
	private readonly openedAtMs = performance.now();
	private offsetMs = Number.POSITIVE_INFINITY;

	/** Time since the connection was opened, as sent in messages. */
	get nowMs(): number {
		return performance.now() - this.openedAtMs;
	}

	/** Returns how much later than the fastest message a message arrived, in milliseconds. */
	recordArrival(sentAtMs: number): number {
		const differenceMs = this.nowMs - sentAtMs;
		this.offsetMs = Math.min(this.offsetMs, differenceMs);
		return differenceMs - this.offsetMs;
	}
}
