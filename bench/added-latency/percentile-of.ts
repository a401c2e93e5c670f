/** Returns the value below which `percentile` per cent of the values lie. */
export function percentileOf(values: readonly number[], percentile: number): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile / 100))];
}
