import {type Disposable} from '../src/base/disposable.js';

/** A signal that is aborted by `cancel`, by a timeout or by an outer signal, whichever comes first; cheaper than `AbortSignal.any`. */
export class Cancellation implements Disposable {
	private readonly controller = new AbortController();
	private readonly timer: NodeJS.Timeout | undefined;

	constructor(timeoutMs: number | undefined, private readonly outer?: AbortSignal) {
		if (timeoutMs !== undefined) {
			this.timer = setTimeout(this.cancel, timeoutMs);
		}

		outer?.addEventListener('abort', this.cancel);
		if (outer?.aborted) {
			this.cancel();
		}
	}

	get signal(): AbortSignal {
		return this.controller.signal;
	}

	readonly cancel = (): void => {
		this.controller.abort();
	};

	dispose(): void {
		clearTimeout(this.timer);
		this.outer?.removeEventListener('abort', this.cancel);
	}
}
