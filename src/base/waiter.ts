/** Lets one task wait for a time or until it is woken, whichever is first. */
export class Waiter {
	private woken = false;
	private finish: (() => void) | undefined;

	/** Waits for a time in milliseconds, less when woken or when the signal is aborted; never rejects. */
	async wait(durationMs: number, signal: AbortSignal): Promise<void> {
		if (!signal.aborted && !this.woken) {
			await this.pause(durationMs, signal);
		}

		this.woken = false;
	}

	/** Ends the present wait, or the next one before it begins. */
	wake(): void {
		this.woken = true;
		this.finish?.();
	}

	private async pause(durationMs: number, signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				signal.removeEventListener('abort', finish);
				this.finish = undefined;
				resolve();
			};

			const timer = setTimeout(finish, durationMs);
			signal.addEventListener('abort', finish);
			this.finish = finish;
		});
	}
}
