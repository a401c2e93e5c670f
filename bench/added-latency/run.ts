import {fileURLToPath} from 'node:url';
import {ChildProgram} from '../../standins/graph/child-program.js';
import {ProcessGraph} from '../../standins/graph/process-graph.js';
import {type BenchOptions} from '../bench-options.js';
import {addedLatencyPlan} from './added-latency-plan.js';
import {LatencyPath} from './latency-path.js';
import {percentileOf} from './percentile-of.js';

type Method = 'GET' | 'POST';

const warmUpRounds = 1000;
const defaultRounds = 4000;
const floorUpstreamFile = fileURLToPath(new URL('floor-upstream.js', import.meta.url));
const floorEntryFile = fileURLToPath(new URL('floor-entry.js', import.meta.url));
const isReady = (line: Readonly<Record<string, unknown>>) => line.ready === true;

/**
Measures the latency that the layer adds to a call over one hop at light load. Sends one request at a time, alternating between the layer,
a direct connection to the same backend server (straight), and the same hops without any decisions (floor).
*/
export async function run({seed, args}: BenchOptions): Promise<unknown> {
	const rounds = numberAfter(args, '--rounds') ?? defaultRounds;
	const answerBytes = numberAfter(args, '--answer-bytes') ?? 0;
	const graph = new ProcessGraph(addedLatencyPlan(seed, answerBytes));
	const floor: ChildProgram[] = [];
	try {
		await graph.start();
		const upstream = graph.node('upstream');
		const floorUpstreamPort = await startFloor(floor, floorUpstreamFile, upstream.backendServerPort);
		const floorEntryPort = await startFloor(floor, floorEntryFile, floorUpstreamPort);
		const paths = [
			new LatencyPath('layer', graph.node('entry').url),
			new LatencyPath('straight', upstream.backendServerUrl),
			new LatencyPath('floor', `http://127.0.0.1:${floorEntryPort}`),
		];
		const report = {
			rounds,
			answerBytes,
			read: await compare(paths, 'GET', '/stock/7', rounds),
			book: await compare(paths, 'POST', '/bookings', rounds),
		};
		await Promise.all(paths.map(async path => path.close()));
		return report;
	} finally {
		await graph.dispose();
		await Promise.all(floor.map(async program => program.kill()));
	}
}

function numberAfter(args: readonly string[], flag: string): number | undefined {
	const index = args.indexOf(flag);
	return index === -1 ? undefined : Number(args[index + 1]);
}

async function startFloor(floor: ChildProgram[], file: string, port: number): Promise<number> {
	const program = new ChildProgram('floor', [file, String(port)], isReady);
	floor.push(program);
	const line = await program.start();
	return Number(line.port);
}

/** Alternates between the paths, so that noise of the machine affects all of them equally. */
async function compare(paths: readonly LatencyPath[], method: Method, path: string, rounds: number) {
	const [layer, straight, floor] = paths;
	await measureRounds(paths, method, path, warmUpRounds);
	for (const measured of paths) {
		measured.reset();
	}

	const addedMs = await measureRounds(paths, method, path, rounds);
	return {
		...Object.fromEntries(paths.map(measured => [measured.name, {p50Ms: measured.percentileMs(50), p99Ms: measured.percentileMs(99)}])),
		ratioToFloor: {p50: layer.percentileMs(50) / floor.percentileMs(50), p99: layer.percentileMs(99) / floor.percentileMs(99)},
		/** Difference between the percentiles of layer and straight. */
		added: {p50Ms: layer.percentileMs(50) - straight.percentileMs(50), p99Ms: layer.percentileMs(99) - straight.percentileMs(99)},
		/** Percentiles of the difference between layer and straight within each round. */
		addedByRound: {p50Ms: percentileOf(addedMs, 50), p99Ms: percentileOf(addedMs, 99)},
	};
}

async function measureRounds(paths: readonly LatencyPath[], method: Method, path: string, rounds: number): Promise<number[]> {
	const addedMs: number[] = [];
	for (let round = 0; round < rounds; round++) {
		const latenciesMs: number[] = [];
		for (let offset = 0; offset < paths.length; offset++) {
			const index = (round + offset) % paths.length;
			latenciesMs[index] = await paths[index].measure(method, path, crypto.randomUUID());
		}

		addedMs.push(latenciesMs[0] - latenciesMs[1]);
	}

	return addedMs;
}
