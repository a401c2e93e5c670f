// Runs one benchmark: `npm run bench -- overload|added-latency|slopes|store-calls|policy-size [--json] [--seed N] …`.
import process from 'node:process';
import {inspect} from 'node:util';
import {type BenchOptions} from './bench-options.js';

type BenchModule = {
	/** Runs the benchmark and returns its report. */
	run(options: BenchOptions): Promise<unknown>;
};

const benches = new Set(['overload', 'added-latency', 'slopes', 'store-calls', 'policy-size']);

async function main(): Promise<void> {
	const [name = '', ...args] = process.argv.slice(2);
	if (!benches.has(name)) {
		console.error(`benchmark must be one of ${[...benches].join(', ')}, not ${JSON.stringify(name)}`);
		process.exitCode = 2;
		return;
	}

	const seedIndex = args.indexOf('--seed');
	const seed = seedIndex === -1 ? 1 : Number(args[seedIndex + 1]);
	if (!Number.isSafeInteger(seed)) {
		console.error('--seed must be an integer');
		process.exitCode = 2;
		return;
	}

	const bench = await import(`./${name}/run.js`) as BenchModule;
	const report = await bench.run({seed, args});
	console.log(args.includes('--json') ? JSON.stringify(report, undefined, '\t') : inspect(report, {depth: 8, breakLength: 140}));
}

await main();
