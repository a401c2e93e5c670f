import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import {v7 as uuidv7} from 'uuid';
import {sleep} from '../../src/base/sleep.js';
import {ProcessGraph} from '../../standins/graph/process-graph.js';
import {samplePlan} from '../../standins/graph/sample-plan.js';
import {processorTimeMs} from './processor-time-ms.js';
import {residentBytesOf} from './resident-bytes-of.js';

const concurrency = 16;
const warmUpCalls = 400;
const measuredCalls = 1600;
const settleMs = 4000;
const idleMs = 10_000;
const msPerSecond = 1000;
const {signal} = new AbortController();

type Sender = (graph: ProcessGraph, index: number) => Promise<number>;

type CallCost = {
	/** Processor time per call, summed over all nodes. */
	readonly cpuMsPerCall: number;
	readonly calls: number;
	readonly failed: number;
};

/** Measures the cost of a call at all nodes on its way, with the real programs on loopback. */
export async function measureHops(seed: number) {
	const graph = new ProcessGraph(samplePlan(seed));
	const agent = new Agent({connections: concurrency});
	const send = async (index: number, method: 'GET' | 'POST', path: string) => {
		const nodes = [...graph.nodes.values()];
		const {statusCode, body} = await request(`${nodes[index % nodes.length].url}${path}`, {
			method,
			headers: {'content-type': 'application/json', 'idempotency-key': uuidv7(), traceparent: `00-${randomUUID().replaceAll('-', '')}-0000000000000001-01`},
			body: method === 'POST' ? '{"charge":1}' : null,
			dispatcher: agent,
		});
		await body.dump();
		return statusCode;
	};

	try {
		await graph.start();
		return {
			idle: await measureIdle(graph),
			idempotentOneHop: await measureCalls(graph, async (_graph, index) => send(index, 'GET', `/panels/${index}`)),
			nonIdempotentOneHop: await measureCalls(graph, async (_graph, index) => send(index, 'POST', '/job-sheets')),
			nonIdempotentTwoHops: await measureCalls(graph, async (_graph, index) => send(index, 'POST', '/extensions')),
			residentBytesPerNode: await meanResidentBytes(graph),
		};
	} finally {
		await agent.destroy();
		await graph.dispose();
	}
}

/** Measures the cost of a complete node without any calls. */
async function measureIdle(graph: ProcessGraph) {
	await sleep(settleMs, signal);
	const before = await storeCalls(graph);
	const beforeMs = await totalProcessorTimeMs(graph);
	await sleep(idleMs, signal);
	const after = await storeCalls(graph);
	const perNodeSecond = 1 / (graph.nodes.size * idleMs / msPerSecond);
	return {
		cpuSharePercent: round((await totalProcessorTimeMs(graph) - beforeMs) * perNodeSecond / msPerSecond * 100),
		residentBytes: await meanResidentBytes(graph),
		openWatches: after.openWatches / graph.nodes.size,
		storeCallsPerSecond: Object.fromEntries(Object.entries(after.calls).map(([path, count]) => [path, round((count - (before.calls[path] ?? 0)) * perNodeSecond)])),
	};
}

async function storeCalls(graph: ProcessGraph): Promise<{calls: Record<string, number>; openWatches: number}> {
	const {body} = await request(`${graph.storeUrl}/counts`);
	return await body.json() as {calls: Record<string, number>; openWatches: number};
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

async function measureCalls(graph: ProcessGraph, send: Sender): Promise<CallCost> {
	await sendMany(graph, send, warmUpCalls);
	const beforeMs = await totalProcessorTimeMs(graph);
	const failed = await sendMany(graph, send, measuredCalls);
	const usedMs = await totalProcessorTimeMs(graph) - beforeMs;
	return {cpuMsPerCall: round(usedMs / measuredCalls), calls: measuredCalls, failed};
}

async function sendMany(graph: ProcessGraph, send: Sender, count: number): Promise<number> {
	let next = 0;
	let failed = 0;
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (next < count) {
			next++;
			failed += await send(graph, next) === 200 ? 0 : 1;
		}
	}));
	return failed;
}

async function totalProcessorTimeMs(graph: ProcessGraph): Promise<number> {
	const times = await Promise.all([...graph.nodes.values()].map(async ({node}) => processorTimeMs(node.processId)));
	return times.reduce((total, timeMs) => total + timeMs, 0);
}

async function meanResidentBytes(graph: ProcessGraph): Promise<number> {
	const sizes = await Promise.all([...graph.nodes.values()].map(async ({node}) => residentBytesOf(node.processId)));
	return Math.round(sizes.reduce((total, sizeBytes) => total + sizeBytes, 0) / sizes.length);
}
