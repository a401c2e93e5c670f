import {type Disposable} from './disposable.js';
import {type Event} from './event.js';
import {toDisposable} from './to-disposable.js';

/** An event source: its owner fires the event, others subscribe through `event`. */
export class Emitter<T> implements Disposable {
	private readonly listeners = new Set<(value: T) => void>();

	readonly event: Event<T> = listener => {
		this.listeners.add(listener);
		return toDisposable(() => {
			this.listeners.delete(listener);
		});
	};

	fire(value: T): void {
		for (const listener of this.listeners) {
			listener(value);
		}
	}

	dispose(): void {
		this.listeners.clear();
	}
}
