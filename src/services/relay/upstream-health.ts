/** Weight of the latest outcome in the moving averages. */
const latestWeight = 0.1;
/** Half-life of samples without updates, so that an upstream that recovers or warms up is tried again. */
const halfLifeMs = 1500;
/** Upper bound of the failure rate: failure is never taken as certain. */
const maxFailureShare = 0.95;

/** Recent outcomes at an upstream, as observed by this node. */
export class UpstreamHealth {
	private mean: number | undefined;
	private share = 0;
	private notedAtMs = 0;

	/** Mean answer time. Without updates it decays towards the typical time of the service, which is also returned before the first answer. */
	meanMs(usualMs: number): number {
		return this.mean === undefined ? usualMs : usualMs + ((this.mean - usualMs) * this.fading);
	}

	/** Failure rate of requests, decaying with time. */
	get failureShare(): number {
		return Math.min(maxFailureShare, this.share * this.fading);
	}

	/** Mean answer time at the latest update, without decay; undefined before the first answer. */
	get lastMeanMs(): number | undefined {
		return this.mean;
	}

	note(succeeded: boolean, elapsedMs: number): void {
		const share = this.failureShare;
		this.share = share + (((succeeded ? 0 : 1) - share) * latestWeight);
		this.notedAtMs = performance.now();
		if (succeeded) {
			this.mean = this.mean === undefined ? elapsedMs : this.mean + ((elapsedMs - this.mean) * latestWeight);
		}
	}

	/** Decay factor since the latest sample. */
	private get fading(): number {
		return 0.5 ** ((performance.now() - this.notedAtMs) / halfLifeMs);
	}
}
