/**
Estimates how long messages of one connection were held up on their way, by steady clocks alone.

The quickest message so far sets the difference between both clocks. As a hello must arrive before the connection counts
as open, the estimate is too low by the time allowed for that at most.
*/
export class TransitClock {
	private readonly openedAtMs = performance.now();
	private offsetMs = Number.POSITIVE_INFINITY;

	/** Time since the connection was opened, as it is stated in messages. */
	get nowMs(): number {
		return performance.now() - this.openedAtMs;
	}

	/** Returns by how much a message was later than the quickest one, in milliseconds. */
	noteArrival(sentAtMs: number): number {
		const differenceMs = this.nowMs - sentAtMs;
		this.offsetMs = Math.min(this.offsetMs, differenceMs);
		return differenceMs - this.offsetMs;
	}
}
