import {sleep} from '../../src/base/sleep.js';
import {measureCallRates} from './call-rates.js';
import {type Fleet} from './fleet.js';
import {type FleetSample} from './fleet-sample.js';

const steadyMs = 8000;
const drainWaitMs = 3000;
const killWaitMs = 5000;
const policyWaitMs = 3000;
const msPerSecond = 1000;
const {signal} = new AbortController();

type Delays = {readonly known: number; readonly unknown: number; readonly p50Ms: number; readonly maxMs: number};

/** Measures the cost of the control plane per node, and propagation times, in a settled fleet. */
export async function measureFleet(fleet: Fleet, size: number) {
	const patchedAtMs = Date.now();
	await fleet.patch(1);
	await sleep(policyWaitMs, signal);
	const policy = summarize(await fleet.delaysMs('policy 2', patchedAtMs));
	const drainedAtMs = Date.now();
	await fleet.drain(1);
	await sleep(drainWaitMs, signal);
	const drain = summarize(await fleet.delaysMs('node-1', drainedAtMs));
	const killedAtMs = Date.now();
	await fleet.kill(2);
	await sleep(killWaitMs, signal);
	const kill = summarize(await fleet.delaysMs('node-2', killedAtMs));
	const steady = await measureSteady(fleet, size);
	return {
		members: size, ...steady, policyInForce: policy, drainKnown: drain, killKnown: kill,
	};
}

async function measureSteady(fleet: Fleet, size: number) {
	const before = await fleet.samples();
	const startedAtMs = performance.now();
	const store = await measureCallRates(fleet.store, steadyMs);
	const after = await fleet.samples();
	const elapsedSeconds = (performance.now() - startedAtMs) / msPerSecond;
	const rate = (field: keyof FleetSample) => (total(after, field) - total(before, field)) / elapsedSeconds / size;
	return {
		gossipBytesPerSecond: {sent: round(rate('sentBytes')), received: round(rate('receivedBytes')), passedOn: round(rate('passedOnBytes'))},
		datagramsPerSecond: round(rate('sentDatagrams')),
		cpuSharePercent: round(rate('cpuMs') / msPerSecond * 100),
		heapBytesPerNode: Math.round(total(after, 'heapBytes') / size),
		suspected: total(after, 'suspected') - total(before, 'suspected'),
		malformed: total(after, 'malformed'),
		store,
	};
}

function summarize(delaysMs: ReadonlyArray<number | undefined>): Delays {
	const known = delaysMs.filter(delay => delay !== undefined).sort((left, right) => left - right);
	return {
		known: known.length,
		unknown: delaysMs.length - known.length,
		p50Ms: known[Math.floor(known.length / 2)] ?? 0,
		maxMs: known.at(-1) ?? 0,
	};
}

function total(samples: readonly FleetSample[], field: keyof FleetSample): number {
	return samples.reduce((sum, sample) => sum + sample[field], 0);
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
