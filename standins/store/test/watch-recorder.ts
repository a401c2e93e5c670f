import {setTimeout as sleep} from 'node:timers/promises';
import {type StoreChange} from '../../../src/runtime/store/store-service.js';

const pollMs = 5;

/** Records the changes that a watch reports, so that a test can wait for the latest value of a key. */
export class WatchRecorder {
	readonly changes: StoreChange[] = [];

	readonly listener = (change: StoreChange): void => {
		this.changes.push(change);
	};

	/** Resolves when the last change of the key has this value, or is its deletion if the value is undefined. */
	async waitFor(key: string, value: string | undefined): Promise<void> {
		for (;;) {
			const last = this.changes.findLast(change => change.key === key);
			if (last && last.entry?.value === value) {
				return;
			}

			await sleep(pollMs);
		}
	}
}
