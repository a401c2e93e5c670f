/** Silence with work outstanding after which a backend server counts as dark, at the least and in mean run times. */
const leastDarkMs = 300;
const darkRuns = 4;
/** Connections in a row that failed after which it counts as unreachable. */
const maxConnectFailures = 2;
/** Time between two requests that try whether it answers again. */
const trialIntervalMs = 250;

/** Tells whether the VM's backend server answers at all, from the requests that it is sent; health endpoints may be wrong. */
export class BackendBreaker {
	private readonly beganAtMs = new Set<{readonly atMs: number}>();
	private answeredAtMs = Number.NEGATIVE_INFINITY;
	private connectFailures = 0;
	private triedAtMs = Number.NEGATIVE_INFINITY;

	/** Whether another request may be sent now; while the backend server is dark only one from time to time. */
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

	/** A request is sent; the function returned ends it, with whether it was answered. */
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

	/** Another boot has taken the place of the one known. */
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
