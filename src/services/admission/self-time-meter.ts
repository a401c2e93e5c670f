import {type SelfTimeTracker} from './admission-service.js';

/** Measures the self time of one execution: the time during which none of its inner calls is running. */
export class SelfTimeMeter implements SelfTimeTracker {
	/** Monotonic clock. */
	readonly startedAtMs = performance.now();
	private innerCallCount = 0;
	private innerCallsSinceMs = 0;
	private innerCallsMs = 0;

	/** Self time so far, in milliseconds. */
	get selfTimeMs(): number {
		const nowMs = performance.now();
		const runningMs = this.innerCallCount > 0 ? nowMs - this.innerCallsSinceMs : 0;
		return nowMs - this.startedAtMs - this.innerCallsMs - runningMs;
	}

	innerCallStarted(): void {
		if (this.innerCallCount === 0) {
			this.innerCallsSinceMs = performance.now();
		}

		this.innerCallCount++;
	}

	innerCallEnded(): void {
		this.innerCallCount--;
		if (this.innerCallCount === 0) {
			this.innerCallsMs += performance.now() - this.innerCallsSinceMs;
		}
	}
}
