import {type EndedExecution} from '../../../src/services/admission/ended-execution.js';

/** Executions that ended within a stretch of time. */
export class ExecutionWindow {
	private readonly fromMs = performance.now();
	private count = 0;
	private ownTimeSumMs = 0;
	private waitingCount = 0;

	get length(): number {
		return this.count;
	}

	get durationMs(): number {
		return performance.now() - this.fromMs;
	}

	get meanOwnTimeMs(): number {
		return this.ownTimeSumMs / this.count;
	}

	/** Whether work was waiting most of the time, so that the limit was what held it back. */
	get wasFull(): boolean {
		return this.waitingCount * 2 > this.count;
	}

	note({selfTimeMs: ownTimeMs, hadQueuedCalls: hadWaiting}: EndedExecution): void {
		this.count++;
		this.ownTimeSumMs += ownTimeMs;
		this.waitingCount += hadWaiting ? 1 : 0;
	}
}
