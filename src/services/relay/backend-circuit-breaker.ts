/** Time without an answer to at least two outstanding requests after which a backend server counts as unresponsive: a minimum, and a multiple of the mean execution time. */
const minSilenceMs = 300;
const silenceInMeanExecutions = 4;
/** Consecutive failed connections after which the backend server counts as unreachable. */
const maxConnectFailures = 2;
/** Time between two trial requests to an unresponsive backend server. */
const trialIntervalMs = 250;

/** Circuit breaker for the VM's backend server. Judges by the outcomes of requests, as health endpoints may be wrong. */
export class BackendCircuitBreaker {
	private readonly outstanding = new Set<{readonly atMs: number}>();
	private lastAnswerAtMs = Number.NEGATIVE_INFINITY;
	private connectFailures = 0;
	private lastTrialAtMs = Number.NEGATIVE_INFINITY;

	/** Whether another request may be sent now; while the backend server is unresponsive, only a trial request at intervals. */
	maySend(meanRunMs: number): boolean {
		if (!this.isUnresponsive(meanRunMs)) {
			return true;
		}

		if (performance.now() - this.lastTrialAtMs < trialIntervalMs) {
			return false;
		}

		this.lastTrialAtMs = performance.now();
		return true;
	}

	/** Records that a request is sent. The returned function records its end and whether it was answered. */
	recordRequest(): (answered: boolean) => void {
		const run = {atMs: performance.now()};
		this.outstanding.add(run);
		return answered => {
			this.outstanding.delete(run);
			if (answered) {
				this.lastAnswerAtMs = performance.now();
				this.connectFailures = 0;
			}
		};
	}

	recordConnectFailure(): void {
		this.connectFailures++;
	}

	/** Resets the state for a new instance. */
	reset(): void {
		this.connectFailures = 0;
		this.lastAnswerAtMs = performance.now();
	}

	private isUnresponsive(meanRunMs: number): boolean {
		if (this.connectFailures >= maxConnectFailures) {
			return true;
		}

		const [oldest] = this.outstanding;
		if (!oldest) {
			return false;
		}

		const silentMs = performance.now() - Math.max(oldest.atMs, this.lastAnswerAtMs);
		return this.outstanding.size > 1 && silentMs > Math.max(minSilenceMs, meanRunMs * silenceInMeanExecutions);
	}
}
