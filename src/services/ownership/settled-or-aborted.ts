import {Deferred} from '../../base/deferred.js';

/** Waits until a promise has settled or a signal is aborted, whichever comes first. */
export async function settledOrAborted(promise: Promise<void> | undefined, signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	const aborted = new Deferred<void>();
	const listener = () => {
		aborted.resolve();
	};

	signal.addEventListener('abort', listener);
	await Promise.race([promise, aborted.promise]);
	signal.removeEventListener('abort', listener);
}
