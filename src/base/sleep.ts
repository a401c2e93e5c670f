/** Waits by the runtime's clock; rejects with the signal's reason when that is aborted. */
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
