import {type Disposable} from './disposable.js';

/** Creates a disposable that calls the function on its first disposal only. */
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
