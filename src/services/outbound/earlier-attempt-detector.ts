/** Minimum time that has passed if a caller waited before its retry as instructed; a caller that retries immediately does not count as having waited. */
const minWaitMs = 350;
/** Fraction by which the longest timeout of a route is reduced with each request, so that a shorter timeout is learned. */
const decayFraction = 0.0005;

/** Learns the timeout of the callers of each route, and so detects callers that have spent part of it waiting since an earlier attempt. */
export class EarlierAttemptDetector {
	private readonly longestTimeoutMs = new Map<string, number>();

	/** Whether a caller with this remaining time has waited since an earlier attempt; false if the time is not a number. */
	hasWaited(route: string, patienceMs: number): boolean {
		if (Number.isNaN(patienceMs)) {
			return false;
		}

		const longestTimeoutMs = Math.max(patienceMs, (this.longestTimeoutMs.get(route) ?? 0) * (1 - decayFraction));
		this.longestTimeoutMs.set(route, longestTimeoutMs);
		return longestTimeoutMs - patienceMs > minWaitMs;
	}
}
