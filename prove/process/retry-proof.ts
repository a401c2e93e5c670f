import {fileURLToPath} from 'node:url';
import {findExcessExecutions} from '../history/find-excess-executions.js';
import {findForeignAnswers} from '../history/find-foreign-answers.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {reportHistory} from './report-history.js';
import {RetryRun} from './retry-run.js';

const naiveNodeFile = fileURLToPath(new URL('../naive/unlimited-retry-node.js', import.meta.url));
const retryTotal = 3;

/** The retry total holds in a chain of six services in which every service fails at random, callers retry and an owner is killed. */
export const retryProof: Proof = {
	name: 'retry-total',
	separateProcesses: true,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const run = new RetryRun(seed, retryTotal, variant === ProofVariant.Naive ? naiveNodeFile : undefined);
		const {events} = await run.run();
		return reportHistory(events, [...findExcessExecutions(events, retryTotal), ...findForeignAnswers(events)]);
	},
};
