/** State of a backend server's queue and of its node. */
type QueueState = {
	/** Number of requests that can run at once; a fraction if the rate of requests is limited below one per execution time. */
	readonly limit: number;
	readonly waiting: number;
	readonly meanRunMs: number;
	/** Fraction of the time in which the node's own processor was busy. */
	readonly processorShare: number;
};

/** Interval over which arrivals are counted: a few dozen at a service near its limit. */
const intervalMs = 100;
/** Target utilisation of the slots: waits grow fast above it, and bursts need headroom. */
const targetUtilisation = 0.92;
/** Processor utilisation above which the node's own work accumulates; below it, delays in the node are short compared with executions. */
const targetProcessorUtilisation = 0.97;
/** Error, as a logarithm, for a processor that is always busy: the excess demand cannot be observed. */
const fullProcessorError = 0.7;
/** Time in which a queue should be drained. */
const queueDrainMs = 500;
/** Weight of the latest interval in the utilisation that arrivals would cause. */
const latestWeight = 0.4;
/**
Change of the share's logarithm per second for a utilisation that is off target by a factor of e. In deep chains, an admitted root
request causes arrivals for up to a second; twice the gain would make the share oscillate.
*/
const gainPerSecond = 1;
/** Bound of the factor between actual and target utilisation, as a logarithm. */
const maxError = 1.5;
/** Longest time for which one observation reduces the share: after a pause, for example at a start, a single observation does not indicate a sustained overload. */
const maxReductionMs = 200;
/** Some root requests are always admitted, so that the end of an overload is detected. */
const minShare = 0.05;
/** Lower bound of the limit that divides the utilisation. */
const minLimit = 0.05;
const msPerSecond = 1000;

/**
Admitted share of the work for the VM's backend server, for the nodes at which root requests enter.

The share is controlled by the rate of arrivals and not only by the queue: a queue grows for as long as too much work arrives, so
a share that followed only its length would be reduced and increased too late.
*/
export class BackendAdmittedShare {
	private logShare = 0;
	private arrivals = 0;
	private intervalStartMs = performance.now();
	private utilisation = 0;

	/** Between 0 and 1. */
	get share(): number {
		return Math.exp(this.logShare);
	}

	/** Records the arrival of work, whether or not it is executed. */
	recordArrival(): void {
		this.arrivals++;
	}

	/** Updates the share from the current state, at most once per interval; to be called when work arrives and before the share is sent to other nodes. */
	observe({limit, waiting, meanRunMs, processorShare}: QueueState): void {
		const elapsedMs = performance.now() - this.intervalStartMs;
		if (elapsedMs < intervalMs) {
			return;
		}

		const slots = Math.max(minLimit, limit);
		const arrived = this.arrivals * meanRunMs / (slots * elapsedMs);
		this.utilisation += (arrived - this.utilisation) * latestWeight;
		const slotError = errorOf(this.utilisation + (waiting * meanRunMs / (slots * queueDrainMs)));
		this.move(Math.min(slotError, processorErrorOf(processorShare)), elapsedMs);
		this.arrivals = 0;
		this.intervalStartMs += elapsedMs;
	}

	/** Adjusts the share towards the target utilisation. */
	private move(error: number, elapsedMs: number): void {
		const countedMs = error < 0 ? Math.min(elapsedMs, maxReductionMs) : elapsedMs;
		const change = error * gainPerSecond * countedMs / msPerSecond;
		this.logShare = Math.max(Math.log(minShare), Math.min(0, this.logShare + change));
	}
}

/** Logarithm of the factor by which arrivals would have to change to reach the target utilisation. */
function errorOf(utilisation: number): number {
	return clampError(Math.log(targetUtilisation / Math.max(Number.MIN_VALUE, utilisation)));
}

function clampError(error: number): number {
	return Math.max(-maxError, Math.min(maxError, error));
}

/** The same for the processor, whose utilisation cannot exceed 1. */
function processorErrorOf(utilisation: number): number {
	return utilisation <= targetProcessorUtilisation
		? clampError(Math.log(targetProcessorUtilisation / Math.max(Number.MIN_VALUE, utilisation)))
		: -fullProcessorError * (utilisation - targetProcessorUtilisation) / (1 - targetProcessorUtilisation);
}
