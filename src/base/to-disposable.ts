import {type Disposable} from './disposable.js';

/** Wraps a function so that it runs once, on disposal. */
export function toDisposable(release: () => void): Disposable {
	let released = false;
	return {
		dispose() {
			if (!released) {
				released = true;
				release();
			}
		},
	};
}
