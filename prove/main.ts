// Runs the proofs: `npm run prove -- --json [--seed N] [--schedules N] [--process-runs N] [--only NAME]`.
import process from 'node:process';
import {
	command, flag, option, optional, runSafely, string,
} from 'cmd-ts';
import {boundedInteger} from '../src/runtime/settings/bounded-integer.js';
import {ProofVariant} from './proof-variant.js';
import {proofs} from './proofs.js';
import {runProof} from './run-proof.js';

const count = boundedInteger('number', 0, 1_000_000);

/** Number of schedules of a naive variant; a few are enough to show that the check finds violations. */
const naiveSchedules = 10;

const program = command({
	name: 'prove',
	args: {
		json: flag({long: 'json'}),
		seed: option({long: 'seed', type: count, defaultValue: () => 1}),
		schedules: option({long: 'schedules', type: count, defaultValue: () => 100}),
		processRuns: option({long: 'process-runs', type: count, defaultValue: () => 5}),
		only: option({long: 'only', type: optional(string)}),
	},
	async handler({json, seed, schedules, processRuns, only}) {
		let failed = false;
		for (const proof of proofs.filter(({name}) => only === undefined || name === only)) {
			const runs = proof.separateProcesses ? processRuns : schedules;
			const real = await runProof(proof, ProofVariant.Real, seed, runs);
			const naive = await runProof(proof, ProofVariant.Naive, seed, Math.min(runs, naiveSchedules));
			failed ||= real.violations.length > 0 || (runs > 0 && naive.violations.length === 0);
			const line = {
				proof: proof.name, seed, ...real, naiveSchedules: naive.schedules, naiveViolations: naive.violations.length,
			};
			console.log(json ? JSON.stringify(line) : line);
		}

		return failed;
	},
});

const result = await runSafely(program, process.argv.slice(2));
if (result._tag === 'error') {
	console.error(result.error.config.message);
	process.exitCode = 2;
} else if (await result.value) {
	process.exitCode = 1;
}
