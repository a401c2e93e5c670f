import {sleep} from '../../src/base/sleep.js';
import {readCalls} from '../../standins/store/read-calls.js';
import {type StoreStandIn} from '../../standins/store/store-stand-in.js';

const bucketMs = 1000;
const {signal} = new AbortController();

type CallRates = {
	readonly durationMs: number;
	/** Mean over all seconds and the second with the most calls. */
	readonly writesPerSecond: {readonly mean: number; readonly peak: number};
	readonly readsPerSecond: {readonly mean: number; readonly peak: number};
	readonly callsByPath: Readonly<Record<string, number>>;
};

/** Counts the calls to the store in each second; `readCalls` lists the paths that count as reads. */
export async function measureCallRates(store: StoreStandIn, durationMs: number): Promise<CallRates> {
	const writes: number[] = [];
	const reads: number[] = [];
	const before = store.callCounts();
	let previous = before;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += bucketMs) {
		await sleep(bucketMs, signal);
		const now = store.callCounts();
		reads.push(countReads(now) - countReads(previous));
		writes.push(countAll(now) - countReads(now) - countAll(previous) + countReads(previous));
		previous = now;
	}

	return {
		durationMs,
		writesPerSecond: {mean: mean(writes), peak: Math.max(...writes)},
		readsPerSecond: {mean: mean(reads), peak: Math.max(...reads)},
		callsByPath: Object.fromEntries(Object.entries(previous).map(([path, count]) => [path, count - (before[path] ?? 0)])),
	};
}

function countReads(counts: Readonly<Record<string, number>>): number {
	return readCalls.reduce((total, call) => total + (counts[call] ?? 0), 0);
}

function countAll(counts: Readonly<Record<string, number>>): number {
	return Object.values(counts).reduce((total, count) => total + count, 0);
}

function mean(values: readonly number[]): number {
	return Math.round(values.reduce((total, value) => total + value, 0) / values.length * 10) / 10;
}
