/** Weight of the latest outcome. */
const latestWeight = 0.1;
/** Time in which knowledge falls to half without news, so that an upstream that recovers or warms up is tried again. */
const halfLifeMs = 1500;
/** A share of failures never counts as certain. */
const maxFailureShare = 0.95;

/** Recent outcomes at an upstream, as one node has seen them. */
export class UpstreamHealth {
	private mean: number | undefined;
	private share = 0;
	private notedAtMs = 0;

	/** Mean time of answers, which without news nears what is usual for the service; that very time before the first answer. */
	meanMs(usualMs: number): number {
		return this.mean === undefined ? usualMs : usualMs + ((this.mean - usualMs) * this.fading);
	}

	/** Share of the requests that failed, fading with time. */
	get failureShare(): number {
		return Math.min(maxFailureShare, this.share * this.fading);
	}

	/** Mean time of answers as it was last; undefined before the first. */
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

	/** What is left of knowledge since the latest news. */
	private get fading(): number {
		return 0.5 ** ((performance.now() - this.notedAtMs) / halfLifeMs);
	}
}
