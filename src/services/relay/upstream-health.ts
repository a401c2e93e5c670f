/** Weight of the latest outcome. */
const latestWeight = 0.1;
/** Time in which a share of failures falls to half without news, so that an upstream that recovers is tried again. */
const halfLifeMs = 1500;
/** A share of failures never counts as certain. */
const maxFailureShare = 0.95;
/** Assumed before the first answer. */
const firstMeanMs = 50;

/** How an upstream has fared of late, as one node has seen it. */
export class UpstreamHealth {
	private mean = firstMeanMs;
	private share = 0;
	private notedAtMs = 0;

	/** Mean time of answers. */
	get meanMs(): number {
		return this.mean;
	}

	/** Share of the requests that failed, fading with time. */
	get failureShare(): number {
		return Math.min(maxFailureShare, this.share * (0.5 ** ((performance.now() - this.notedAtMs) / halfLifeMs)));
	}

	note(succeeded: boolean, elapsedMs: number): void {
		const share = this.failureShare;
		this.share = share + (((succeeded ? 0 : 1) - share) * latestWeight);
		this.notedAtMs = performance.now();
		if (succeeded) {
			this.mean += (elapsedMs - this.mean) * latestWeight;
		}
	}
}
