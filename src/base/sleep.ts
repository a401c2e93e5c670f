/** Waits for a duration on the runtime's timers; rejects with the signal's reason when the signal is aborted. */
export async function sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
	return new Promise((resolve, reject) => {
		signal?.throwIfAborted();
		const onAbort = (): void => {
			clearTimeout(timer);
			reject(signal!.reason as Error);
		};

		const timer = setTimeout(() => {
			signal?.removeEventListener('abort', onAbort);
			resolve();
		}, durationMs);
		signal?.addEventListener('abort', onAbort, {once: true});
	});
}
