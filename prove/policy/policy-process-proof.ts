import {fileURLToPath} from 'node:url';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {checkPolicyHistory} from './check-policy-history.js';
import {PolicyEventKind} from './policy-event-kind.js';
import {PolicyProcessRun} from './policy-process-run.js';

const naiveNodeFile = fileURLToPath(new URL('../naive/last-write-node.js', import.meta.url));

/** The checks of `policyProof` with separate processes, while operators submit concurrent patches with the command line. */
export const policyProcessProof: Proof = {
	name: 'policy-processes',
	separateProcesses: true,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const run = new PolicyProcessRun(seed, variant === ProofVariant.Naive ? naiveNodeFile : undefined);
		await run.run();
		return {
			schedules: 1,
			faultsByKind: run.faultsByKind,
			ids: run.patchCount,
			executions: run.events.filter(({kind}) => kind === PolicyEventKind.Stored).length,
			refusalsByKind: run.refusalsByKind,
			unknowns: run.events.filter(({kind}) => kind === PolicyEventKind.Unknown).length,
			unexplainedUnknowns: 0,
			violations: checkPolicyHistory(run.events),
		};
	},
};
