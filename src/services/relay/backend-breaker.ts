/** Time without an answer to outstanding requests after which a backend server counts as unresponsive: a minimum, and a multiple of the mean execution time. */
const leastDarkMs = 300;
const darkRuns = 4;
/** Consecutive failed connections after which the backend server counts as unreachable. */
const maxConnectFailures = 2;
/** Time between two trial requests to an unresponsive backend server. */
const trialIntervalMs = 250;

/** Circuit breaker for the VM's backend server. Judges by the outcomes of requests, as health endpoints may be wrong. */
export class BackendBreaker {
	private readonly beganAtMs = new Set<{readonly atMs: number}>();
	private answeredAtMs = Number.NEGATIVE_INFINITY;
	private connectFailures = 0;
	private triedAtMs = Number.NEGATIVE_INFINITY;

	/** Whether another request may be sent now; while the backend server is unresponsive, only a trial request at intervals. */
	mayBegin(meanRunMs: number): boolean {
		if (!this.isDark(meanRunMs)) {
			return true;
		}

		if (performance.now() - this.triedAtMs < trialIntervalMs) {
			return false;
		}

		this.triedAtMs = performance.now();
		return true;
	}

	/** Records that a request is sent. The returned function records its end and whether it was answered. */
	begin(): (answered: boolean) => void {
		const run = {atMs: performance.now()};
		this.beganAtMs.add(run);
		return answered => {
			this.beganAtMs.delete(run);
			if (answered) {
				this.answeredAtMs = performance.now();
				this.connectFailures = 0;
			}
		};
	}

	noteConnectFailure(): void {
		this.connectFailures++;
	}

	/** Resets the state for a new instance. */
	reset(): void {
		this.connectFailures = 0;
		this.answeredAtMs = performance.now();
	}

	private isDark(meanRunMs: number): boolean {
		if (this.connectFailures >= maxConnectFailures) {
			return true;
		}

		const [oldest] = this.beganAtMs;
		if (!oldest) {
			return false;
		}

		const silentMs = performance.now() - Math.max(oldest.atMs, this.answeredAtMs);
		return this.beganAtMs.size > 1 && silentMs > Math.max(leastDarkMs, meanRunMs * darkRuns);
	}
}
