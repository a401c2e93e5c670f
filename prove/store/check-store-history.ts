import {type StoreCall} from './store-call.js';

type StoreHistory = {
	readonly calls: readonly StoreCall[];
	/** Values that were stored under the key, in order. */
	readonly storedValues: readonly string[];
	/** Last value that the watch reported, after all faults had ended. */
	readonly watchedValue: string | undefined;
	readonly boundMs: number;
};

/** Checks how a store client coped with silent connections and lost answers, and describes each violation. */
export function checkStoreHistory({calls, storedValues, watchedValue, boundMs}: StoreHistory): string[] {
	const violations: string[] = [];
	for (const call of calls) {
		if (call.durationMs === undefined) {
			violations.push(`a ${call.kind} had no end after ${boundMs} ms`);
		} else if (call.metOnlySilence && call.kind !== 'swap' && !call.answered) {
			violations.push(`a ${call.kind} failed although its only fault was a silent connection`);
		}
	}

	if (watchedValue !== storedValues.at(-1)) {
		violations.push(`the watch told ${watchedValue ?? 'nothing'} last but the store has ${storedValues.at(-1) ?? 'nothing'}`);
	}

	return [...violations, ...checkSwaps(calls, storedValues)];
}

function checkSwaps(calls: readonly StoreCall[], storedValues: readonly string[]): string[] {
	const violations: string[] = [];
	for (const {value, answered, swapped} of calls) {
		const writeCount = storedValues.filter(stored => stored === value).length;
		if (value !== undefined && writeCount > 1) {
			violations.push(`${value} was written ${writeCount} times`);
		} else if (value !== undefined && answered && swapped !== (writeCount === 1)) {
			violations.push(`${value} was told ${swapped ? 'written' : 'not written'} but is ${writeCount === 1 ? '' : 'not '}in the store's history`);
		}
	}

	return violations;
}
