import {performance, type EventLoopUtilization} from 'node:perf_hooks';
import {type ProcessorService} from './processor-service.js';

/** Time over which the share is measured: long against single turns of a busy event loop and pauses to collect garbage. */
const intervalMs = 250;

/** Takes the process to be busy while its event loop is not waiting. A process that has to wait for the processor counts as busy too. */
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
