/** How the queue of a backend server stands, and its node. */
type QueueState = {
	readonly limit: number;
	readonly waiting: number;
	readonly meanRunMs: number;
	/** Share of the time in which the node's own processor was busy. */
	readonly processorShare: number;
};

/** Time over which arrivals are counted: some dozens of them at a service that is nearly full. */
const intervalMs = 100;
/** Utilisation of the slots that is aimed at: waits grow fast above, and bursts need some room. */
const targetUtilisation = 0.92;
/** Share of the processor from which on the node's own work piles up; below, its waits are short against the runs of a backend server. */
const targetProcessorShare = 0.97;
/** Reduction, as a logarithm, for a processor that is always busy: how much more is asked of it can't be seen. */
const fullProcessorError = 0.7;
/** Time in which a queue is to be gone. */
const drainMs = 500;
/** Weight of the latest interval in the offered utilisation. */
const latestWeight = 0.4;
/**
Change of the share's logarithm in a second, for an offered utilisation that is off by a factor of e. A root that is admitted shows in
arrivals after up to a second in deep chains; twice the gain would make it oscillate.
*/
const gainPerSecond = 1;
/** Bounds of the factor that offered and aimed-at utilisation are taken to differ by, as a logarithm. */
const maxError = 1.5;
/** Time for which one observation reduces the share at most: after a pause, as at a start, what it saw is no standing overload. */
const longestReductionMs = 200;
/** Some roots are always admitted, so that the end of an overload is noticed. */
const leastShare = 0.05;
const msPerSecond = 1000;

/**
The share of the work for the VM's backend server that entry nodes may admit.

It follows the work that arrives and not only the time that it waits: a queue grows for as long as too much arrives, so that a share
that follows its length turns too late both ways.
*/
export class OfferedWork {
	private logarithm = 0;
	private arrivals = 0;
	private sinceMs = performance.now();
	private utilisation = 0;

	/** Share between 0 and 1. */
	get share(): number {
		return Math.exp(this.logarithm);
	}

	/** Work has arrived, whether or not it will be begun. */
	noteArrival(): void {
		this.arrivals++;
	}

	/** Takes over how things stand; called whenever it changed and before the share is asked for. */
	observe({limit, waiting, meanRunMs, processorShare}: QueueState): void {
		const elapsedMs = performance.now() - this.sinceMs;
		if (elapsedMs < intervalMs) {
			return;
		}

		const slots = Math.max(1, limit);
		const arrived = this.arrivals * meanRunMs / (slots * elapsedMs);
		this.utilisation += (arrived - this.utilisation) * latestWeight;
		const slotError = errorOf(this.utilisation + (waiting * meanRunMs / (slots * drainMs)));
		this.move(Math.min(slotError, processorErrorOf(processorShare)), elapsedMs);
		this.arrivals = 0;
		this.sinceMs += elapsedMs;
	}

	/** Moves the share towards the one at which what arrives is as much as aimed at. */
	private move(error: number, elapsedMs: number): void {
		const countedMs = error < 0 ? Math.min(elapsedMs, longestReductionMs) : elapsedMs;
		const change = error * gainPerSecond * countedMs / msPerSecond;
		this.logarithm = Math.max(Math.log(leastShare), Math.min(0, this.logarithm + change));
	}
}

/** Logarithm of the factor that the work offered would have to change by. */
function errorOf(utilisation: number): number {
	return bounded(Math.log(targetUtilisation / Math.max(Number.MIN_VALUE, utilisation)));
}

function bounded(error: number): number {
	return Math.max(-maxError, Math.min(maxError, error));
}

/** The same for the processor, whose use can't be more than whole. */
function processorErrorOf(share: number): number {
	return share <= targetProcessorShare
		? bounded(Math.log(targetProcessorShare / Math.max(Number.MIN_VALUE, share)))
		: -fullProcessorError * (share - targetProcessorShare) / (1 - targetProcessorShare);
}
