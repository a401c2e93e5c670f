import {performance, type EventLoopUtilization} from 'node:perf_hooks';
import {type ProcessorService} from './processor-service.js';

/** Time over which the utilisation is measured: long compared to single iterations of a busy event loop and to garbage collection pauses. */
const intervalMs = 250;

/** Counts the process as busy while its event loop is not idle. This includes the time in which it waits for the processor. */
export class EventLoopProcessorService implements ProcessorService {
	private lastSample: EventLoopUtilization = performance.eventLoopUtilization();
	private sampledAtMs = performance.now();
	private lastUtilisation = 0;

	get utilisation(): number {
		const nowMs = performance.now();
		if (nowMs - this.sampledAtMs >= intervalMs) {
			this.lastUtilisation = performance.eventLoopUtilization(this.lastSample).utilization;
			this.lastSample = performance.eventLoopUtilization();
			this.sampledAtMs = nowMs;
		}

		return this.lastUtilisation;
	}
}
