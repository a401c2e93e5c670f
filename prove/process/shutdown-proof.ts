import {fileURLToPath} from 'node:url';
import {findChangedAnswers} from '../history/find-changed-answers.js';
import {findInterruptedRequests} from '../history/find-interrupted-requests.js';
import {findRepeatedExecutions} from '../history/find-repeated-executions.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {reportHistory} from './report-history.js';
import {ShutdownRun} from './shutdown-run.js';

const naiveNodeFile = fileURLToPath(new URL('../naive/abrupt-node.js', import.meta.url));

/** Graceful shutdown: stopping VMs under load interrupts no request, and ids that were handed over get the same answers as before. */
export const shutdownProof: Proof = {
	name: 'graceful-shutdown',
	separateProcesses: true,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const run = new ShutdownRun(seed, variant === ProofVariant.Naive ? naiveNodeFile : undefined);
		const {events} = await run.run();
		return reportHistory(events, [
			...findInterruptedRequests(events),
			...findChangedAnswers(events),
			...findRepeatedExecutions(events),
		]);
	},
};
