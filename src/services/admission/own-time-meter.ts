import {type OwnTime} from './admission-service.js';

/** Measures the self time of one execution: the time during which none of its inner calls is running. */
export class OwnTimeMeter implements OwnTime {
	/** Monotonic clock. */
	readonly beganAtMs = performance.now();
	private subCallCount = 0;
	private subCallsSinceMs = 0;
	private subCallsMs = 0;

	/** Self time so far, in milliseconds. */
	get ownTimeMs(): number {
		const nowMs = performance.now();
		const runningMs = this.subCallCount > 0 ? nowMs - this.subCallsSinceMs : 0;
		return nowMs - this.beganAtMs - this.subCallsMs - runningMs;
	}

	subCallBegan(): void {
		if (this.subCallCount === 0) {
			this.subCallsSinceMs = performance.now();
		}

		this.subCallCount++;
	}

	subCallEnded(): void {
		this.subCallCount--;
		if (this.subCallCount === 0) {
			this.subCallsMs += performance.now() - this.subCallsSinceMs;
		}
	}
}
