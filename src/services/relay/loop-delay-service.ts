import {LogService} from '../../runtime/log/log-service.js';
import {DelayThresholdService} from '../admission/delay-threshold-service.js';
import {type OwnLoadService} from './own-load-service.js';

/** Time between two looks at the clock. A look that comes late shows how long work waits for the processor. */
const lookIntervalMs = 50;
/** Delay that is bearable: a process whose share of a core is used up stands still for up to a tenth of a second, but not at each look. */
const bearableDelayMs = 50;

/** Refuses work of low rank while the event loop is late all the time; a single pause, a collection of garbage for instance, counts for nothing. */
export class LoopDelayService extends DelayThresholdService implements OwnLoadService {
	private readonly timer: NodeJS.Timeout;
	private lookedAtMs = performance.now();
	private previousDelayMs = 0;

	constructor(@LogService private readonly log: LogService) {
		super();
		this.timer = setInterval(() => {
			this.look();
		}, lookIntervalMs).unref();
	}

	dispose(): void {
		clearInterval(this.timer);
	}

	protected override get largestRise(): number {
		return 0.15;
	}

	protected override get probe(): number {
		return 0.03;
	}

	protected override get roomDecay(): number {
		return 0.15;
	}

	private look(): void {
		const nowMs = performance.now();
		const delayMs = Math.max(0, nowMs - this.lookedAtMs - lookIntervalMs);
		this.lookedAtMs = nowMs;
		const wasOverloaded = this.threshold > 0;
		// A delay stands if the look before was late as well.
		const standingMs = Math.min(delayMs, this.previousDelayMs);
		this.previousDelayMs = delayMs;
		this.observe({oldestWaitMs: standingMs, isFull: false, ownTimeMs: bearableDelayMs});
		if ((this.threshold > 0) !== wasOverloaded) {
			this.log.info(wasOverloaded ? 'event loop keeps up again' : 'event loop is late', {delayMs: Math.round(standingMs), threshold: this.threshold});
		}
	}
}
