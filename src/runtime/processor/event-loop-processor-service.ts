import {performance, type EventLoopUtilization} from 'node:perf_hooks';
import {type ProcessorService} from './processor-service.js';

/** Time over which the utilisation is measured: long compared to single iterations of a busy event loop and to garbage collection pauses. */
const intervalMs = 250;

/** Counts the process as busy while its event loop is not idle. This includes the time in which it waits for the processor. */
export class EventLoopProcessorService implements ProcessorService {
	private measured: EventLoopUtilization = performance.eventLoopUtilization();
	private measuredAtMs = performance.now();
	private share = 0;

	get busyShare(): number {
		const nowMs = performance.now();
		if (nowMs - this.measuredAtMs >= intervalMs) {
			this.share = performance.eventLoopUtilization(this.measured).utilization;
			this.measured = performance.eventLoopUtilization();
			this.measuredAtMs = nowMs;
		}

		return this.share;
	}
}
