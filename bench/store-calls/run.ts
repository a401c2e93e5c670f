import {setTimeout as sleep} from 'node:timers/promises';
import {samplePolicy} from '../../standins/graph/sample-policy.js';
import {StoreStandIn} from '../../standins/store/store-stand-in.js';
import {type BenchOptions} from '../bench-options.js';
import {ControlPlaneNode} from './control-plane-node.js';

const zoneCount = 4;
const fleetSizes = [12, 24, 48];
const warmUpMs = 15_000;
const steadyMs = 30_000;
const changes = 10;
const changeIntervalMs = 1000;
const pollMs = 5;
const changeTimeoutMs = 10_000;
const msPerSecond = 1000;

type Counts = Readonly<Record<string, number>>;

type FleetReport = {
	readonly nodes: number;
	/** Calls to the store per second, by path, while nothing changes. */
	readonly steadyCallsPerSecond: Counts;
	readonly openWatches: number;
	/** Additional calls to the store for one policy change, by path. */
	readonly callsPerChange: Counts;
	/** Time from submitting a change until every node has adopted it. */
	readonly propagationMs: readonly number[];
};

/** Measures the calls to the store for different fleet sizes, in the steady state and for a policy change. */
export async function run({seed}: BenchOptions): Promise<{zones: number; fleets: FleetReport[]}> {
	const fleets: FleetReport[] = [];
	for (const nodes of fleetSizes) {
		fleets.push(await measureFleet(nodes, seed));
	}

	return {zones: zoneCount, fleets};
}

async function measureFleet(size: number, seed: number): Promise<FleetReport> {
	const store = new StoreStandIn();
	await store.listen();
	const nodes = Array.from({length: size}, (_, index) => new ControlPlaneNode(`node-${index}`, `zone-${index % zoneCount}`, store.url, (seed * 1000) + index + 1));
	try {
		await Promise.all(nodes.map(async node => node.start()));
		await nodes[0].policy.initialize(samplePolicy, AbortSignal.timeout(changeTimeoutMs));
		await sleep(warmUpMs);
		const steady = await countCalls(store, async () => sleep(steadyMs));
		const {counts, durationMs, result} = await countCalls(store, async () => measureChanges(nodes));
		return {
			nodes: size,
			steadyCallsPerSecond: scaleCounts(steady.counts, msPerSecond / steady.durationMs),
			openWatches: store.openWatches,
			callsPerChange: scaleCounts(subtractCounts(counts, scaleCounts(steady.counts, durationMs / steady.durationMs)), 1 / changes),
			propagationMs: result.map(value => Math.round(value)),
		};
	} finally {
		for (const node of nodes) {
			node.dispose();
		}

		store.dispose();
	}
}

/** Changes the policy at one node after another and returns how long each change took to reach all nodes. */
async function measureChanges(nodes: readonly ControlPlaneNode[]): Promise<number[]> {
	const durations: number[] = [];
	for (let index = 0; index < changes; index++) {
		const {policy} = nodes[(index * 5) % nodes.length];
		const startedAtMs = performance.now();
		const operations = [{op: 'replace' as const, path: '/operations/0/timeoutMs', value: 2000 + index}];
		const {version} = await policy.submit({patchId: `change-${index}`, baseVersion: policy.version, operations}, AbortSignal.timeout(changeTimeoutMs));
		while (nodes.some(node => node.policy.version < version)) {
			await sleep(pollMs);
		}

		durations.push(performance.now() - startedAtMs);
		await sleep(changeIntervalMs);
	}

	return durations;
}

async function countCalls<T>(store: StoreStandIn, action: () => Promise<T>): Promise<{counts: Counts; durationMs: number; result: T}> {
	const before = store.callCounts();
	const startedAtMs = performance.now();
	const result = await action();
	return {counts: subtractCounts(store.callCounts(), before), durationMs: performance.now() - startedAtMs, result};
}

function subtractCounts(left: Counts, right: Counts): Counts {
	return Object.fromEntries(Object.entries(left).map(([path, count]) => [path, count - (right[path] ?? 0)]));
}

function scaleCounts(counts: Counts, factor: number): Counts {
	return Object.fromEntries(Object.entries(counts).map(([path, count]) => [path, Math.round(count * factor * 100) / 100]));
}
