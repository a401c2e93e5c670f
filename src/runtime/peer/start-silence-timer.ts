import {type Disposable} from '../../base/disposable.js';
import {toDisposable} from '../../base/to-disposable.js';

/** A timer that fires at least this late shows that this process itself was stalled. */
const stallDelayMs = 20;

/**
Calls a function after a period of silence.

A process that was stalled has not yet read what arrived meanwhile. It waits for the period again before it attributes the silence
to the other end.
*/
export function startSilenceTimer(delayMs: number, onSilence: () => void): Disposable {
	const dueAtMs = performance.now() + delayMs;
	let timer = setTimeout(() => {
		if (performance.now() - dueAtMs < stallDelayMs) {
			onSilence();
			return;
		}

		timer = setTimeout(onSilence, delayMs);
	}, delayMs);
	return toDisposable(() => {
		clearTimeout(timer);
	});
}
