import {type Disposable} from '../../base/disposable.js';
import {startSilenceTimer} from './start-silence-timer.js';

type SilenceActions = {
	/** Asks the other end for a sign of life. */
	probe(): void;
	/** Gives the connection up. */
	abandon(): void;
};

/** Watches a connection for silence while something is outstanding on it. */
export class SilenceWatch implements Disposable {
	private timer: Disposable | undefined;
	private quietSinceMs = 0;
	private probed = false;

	constructor(
		private readonly probeAfterMs: number,
		private readonly abandonAfterMs: number,
		private readonly actions: SilenceActions,
	) {}

	/** Something became outstanding. */
	begin(): void {
		if (!this.timer) {
			this.quietSinceMs = performance.now();
			this.probed = false;
			this.arm(this.probeAfterMs);
		}
	}

	/** Something is outstanding no more; so many things still are. */
	end(outstanding: number): void {
		if (outstanding === 0) {
			this.dispose();
		}
	}

	noteReceived(): void {
		this.quietSinceMs = performance.now();
		if (this.probed) {
			this.probed = false;
			this.timer?.dispose();
			this.arm(this.probeAfterMs);
		}
	}

	dispose(): void {
		this.timer?.dispose();
		this.timer = undefined;
	}

	private arm(delayMs: number): void {
		this.timer = startSilenceTimer(delayMs, () => {
			this.check();
		});
	}

	private check(): void {
		if (this.probed) {
			this.actions.abandon();
			return;
		}

		const quietMs = performance.now() - this.quietSinceMs;
		if (quietMs < this.probeAfterMs) {
			this.arm(this.probeAfterMs - quietMs);
			return;
		}

		this.probed = true;
		this.arm(this.abandonAfterMs);
		this.actions.probe();
	}
}
