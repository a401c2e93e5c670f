import {type Disposable} from '../../base/disposable.js';
import {startSilenceTimer} from './start-silence-timer.js';

type SilenceActions = {
	/** Sends the other end a message that it has to reply to. */
	probe(): void;
	/** Closes the connection. */
	abandon(): void;
};

/** Detects that a connection is silent while calls are outstanding on it. */
export class SilenceDetector implements Disposable {
	private timer: Disposable | undefined;
	private silentSinceMs = 0;
	private probed = false;

	constructor(
		private readonly probeAfterMs: number,
		private readonly abandonAfterMs: number,
		private readonly actions: SilenceActions,
	) {}

	/** Called when a call becomes outstanding. */
	start(): void {
		if (!this.timer) {
			this.silentSinceMs = performance.now();
			this.probed = false;
			this.arm(this.probeAfterMs);
		}
	}

	/** Called when a call has ended; stops the detection if no other call is outstanding. */
	stopIfIdle(outstanding: number): void {
		if (outstanding === 0) {
			this.dispose();
		}
	}

	recordReceived(): void {
		this.silentSinceMs = performance.now();
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

		const silentMs = performance.now() - this.silentSinceMs;
		if (silentMs < this.probeAfterMs) {
			this.arm(this.probeAfterMs - silentMs);
			return;
		}

		this.probed = true;
		this.arm(this.abandonAfterMs);
		this.actions.probe();
	}
}
