import {type StoreCall} from './store-call.js';

type StoreHistory = {
	readonly calls: readonly StoreCall[];
	/** Values that the key has had, in order. */
	readonly storedValues: readonly string[];
	/** What the watch told last, once all faults had ended. */
	readonly watchedValue: string | undefined;
	readonly boundMs: number;
};

/** What the history of a store client breaks of the promises on silent connections and lost answers, in words. */
export function checkStoreHistory({calls, storedValues, watchedValue, boundMs}: StoreHistory): string[] {
	const violations: string[] = [];
	for (const call of calls) {
		if (call.durationMs === undefined) {
			violations.push(`a ${call.kind} had no end after ${boundMs} ms`);
		} else if (call.onlySilence && call.kind !== 'swap' && !call.answered) {
			violations.push(`a ${call.kind} failed though only its connection was silent`);
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
		const times = storedValues.filter(stored => stored === value).length;
		if (value !== undefined && times > 1) {
			violations.push(`${value} was written ${times} times`);
		} else if (value !== undefined && answered && swapped !== (times === 1)) {
			violations.push(`${value} was told ${swapped ? 'written' : 'not written'} but is ${times === 1 ? '' : 'not '}in the store's history`);
		}
	}

	return violations;
}
