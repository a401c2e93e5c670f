import {type EndedExecution} from '../../../src/services/admission/ended-execution.js';

/** Executions that ended within a window of time. */
export class ExecutionWindow {
	private readonly startedAtMs = performance.now();
	private count = 0;
	private selfTimeSumMs = 0;
	private hadQueuedCallsCount = 0;

	get length(): number {
		return this.count;
	}

	get durationMs(): number {
		return performance.now() - this.startedAtMs;
	}

	get meanSelfTimeMs(): number {
		return this.selfTimeSumMs / this.count;
	}

	/** Whether calls were queued most of the time, so that the limit was the bottleneck. */
	get wasLimited(): boolean {
		return this.hadQueuedCallsCount * 2 > this.count;
	}

	record({selfTimeMs, hadQueuedCalls}: EndedExecution): void {
		this.count++;
		this.selfTimeSumMs += selfTimeMs;
		this.hadQueuedCallsCount += hadQueuedCalls ? 1 : 0;
	}
}
