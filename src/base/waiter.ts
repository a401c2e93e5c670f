/** A wait of one task that ends after a time or when it is woken, whichever is first. */
export class Waiter {
	private woken = false;
	private finish: (() => void) | undefined;

	/** Waits for the duration, or until woken or until the signal is aborted; never rejects. */
	async wait(durationMs: number, signal: AbortSignal): Promise<void> {
		if (!signal.aborted && !this.woken) {
			await this.pause(durationMs, signal);
		}

		this.woken = false;
	}

	/** Ends the current wait, or the next one as soon as it starts. */
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
