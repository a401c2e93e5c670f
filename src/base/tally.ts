/** Counts events by name between two calls of `take`. */
export class Tally {
	private counts = new Map<string, number>();

	add(name: string, by = 1): void {
		this.counts.set(name, (this.counts.get(name) ?? 0) + by);
	}

	/** Returns the counts since the last call and resets them. */
	take(): Readonly<Record<string, number>> {
		const {counts} = this;
		this.counts = new Map();
		return Object.fromEntries(counts);
	}
}
