import {type Disposable} from '../../base/disposable.js';
import {toDisposable} from '../../base/to-disposable.js';

/** Lateness of a timer from which on this process itself stood still. */
const standstillMs = 20;

/**
Runs an action after some time of silence.

A process that stood still has not read yet what came meanwhile, and waits once more before it blames the other end.
*/
export function startSilenceTimer(delayMs: number, onSilence: () => void): Disposable {
	const dueAtMs = performance.now() + delayMs;
	let timer = setTimeout(() => {
		if (performance.now() - dueAtMs < standstillMs) {
			onSilence();
			return;
		}

		timer = setTimeout(onSilence, delayMs);
	}, delayMs);
	return toDisposable(() => {
		clearTimeout(timer);
	});
}
