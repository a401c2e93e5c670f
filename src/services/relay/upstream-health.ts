/** Weight of the latest outcome in the moving averages. */
const latestWeight = 0.1;
/** Half-life of samples without updates, so that an upstream that recovers or warms up is tried again. */
const halfLifeMs = 1500;
/** Upper bound of the failure rate: failure is never taken as certain. */
const maxFailureRate = 0.95;

/** Recent outcomes at an upstream, as observed by this node. */
export class UpstreamHealth {
	private mean: number | undefined;
	private rate = 0;
	private recordedAtMs = 0;

	/** Mean answer time. Without updates it decays towards the typical time of the service, which is also returned before the first answer. */
	meanMs(typicalMs: number): number {
		return this.mean === undefined ? typicalMs : typicalMs + ((this.mean - typicalMs) * this.decayFactor);
	}

	/** Failure rate of requests, decaying with time. */
	get failureRate(): number {
		return Math.min(maxFailureRate, this.rate * this.decayFactor);
	}

	/** Mean answer time at the latest update, without decay; undefined before the first answer. */
	get lastMeanMs(): number | undefined {
		return this.mean;
	}

	record(succeeded: boolean, elapsedMs: number): void {
		const rate = this.failureRate;
		this.rate = rate + (((succeeded ? 0 : 1) - rate) * latestWeight);
		this.recordedAtMs = performance.now();
		if (succeeded) {
			this.mean = this.mean === undefined ? elapsedMs : this.mean + ((elapsedMs - this.mean) * latestWeight);
		}
	}

	/** Decay factor since the latest sample. */
	private get decayFactor(): number {
		return 0.5 ** ((performance.now() - this.recordedAtMs) / halfLifeMs);
	}
}
