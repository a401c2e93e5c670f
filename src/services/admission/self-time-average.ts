/** Weight of the latest execution. */
const weight = 0.2;

/** Exponential moving average of the backend server's self time per request. */
export class SelfTimeAverage {
	private average = 0;

	/** In milliseconds; 0 before the first execution. */
	get valueMs(): number {
		return this.average;
	}

	record(selfTimeMs: number): void {
		this.average = this.average === 0 ? selfTimeMs : this.average + (weight * (selfTimeMs - this.average));
	}

	reset(): void {
		this.average = 0;
	}
}
