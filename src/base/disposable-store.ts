import {type Disposable} from './disposable.js';

/** Collects disposables and disposes them together, the newest first. */
export class DisposableStore implements Disposable {
	private readonly items = new Set<Disposable>();
	private disposed = false;

	get isDisposed(): boolean {
		return this.disposed;
	}

	/** Adds an item and returns it; an item added after disposal is disposed at once. */
	add<T extends Disposable>(item: T): T {
		if (this.disposed) {
			item.dispose();
		} else {
			this.items.add(item);
		}

		return item;
	}

	/** Removes one item and disposes it. */
	release(item: Disposable): void {
		if (this.items.delete(item)) {
			item.dispose();
		}
	}

	dispose(): void {
		this.disposed = true;
		const items = [...this.items].reverse();
		this.items.clear();
		for (const item of items) {
			item.dispose();
		}
	}
}
