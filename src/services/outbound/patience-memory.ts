/** Time that a caller has let pass at least if it waited as it was told; one that repeats at once has not. */
const leastWaitMs = 350;
/** Share by which the greatest patience of a route is lowered with each request, so that a shorter one is learned. */
const loweringShare = 0.0005;

/** Learns how long callers of each route wait in all, and so which have spent part of that on an earlier attempt. */
export class PatienceMemory {
	private readonly greatestMs = new Map<string, number>();

	/** Whether a caller that still waits for so long has waited since an earlier attempt. */
	hasWaited(route: string, patienceMs: number): boolean {
		const greatestMs = Math.max(patienceMs, (this.greatestMs.get(route) ?? 0) * (1 - loweringShare));
		this.greatestMs.set(route, greatestMs);
		return greatestMs - patienceMs > leastWaitMs;
	}
}
