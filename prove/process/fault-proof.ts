import {fileURLToPath} from 'node:url';
import {findChangedAnswers} from '../history/find-changed-answers.js';
import {findExcessExecutions} from '../history/find-excess-executions.js';
import {findFalseRefusals} from '../history/find-false-refusals.js';
import {findForeignAnswers} from '../history/find-foreign-answers.js';
import {findRepeatedExecutions} from '../history/find-repeated-executions.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {FaultRun} from './fault-run.js';
import {reportHistory} from './report-history.js';

const naiveNodeFile = fileURLToPath(new URL('../naive/plain-ownership-node.js', import.meta.url));
const retryTotal = 3;

/** At-most-once execution, correct `not-run` answers, complete answers and the retry total, with separate processes and two concurrent faults. */
export const faultProof: Proof = {
	name: 'process-faults',
	separateProcesses: true,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const run = new FaultRun(seed, variant === ProofVariant.Naive ? naiveNodeFile : undefined);
		const {events} = await run.run();
		return reportHistory(events, [
			...findRepeatedExecutions(events),
			...findFalseRefusals(events),
			...findForeignAnswers(events),
			...findChangedAnswers(events),
			...findExcessExecutions(events, retryTotal),
		]);
	},
};
