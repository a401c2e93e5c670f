import {fileURLToPath} from 'node:url';
import {findFailedReads} from '../history/find-failed-reads.js';
import {findFalseRefusals} from '../history/find-false-refusals.js';
import {findForeignAnswers} from '../history/find-foreign-answers.js';
import {findRepeatedExecutions} from '../history/find-repeated-executions.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {reportHistory} from '../process/report-history.js';
import {ZoneCutRun} from './zone-cut-run.js';

const naiveNodeFile = fileURLToPath(new URL('store-bound-node.js', import.meta.url));

/** While zones are partitioned and the store is unreachable, reads still succeed and nothing is executed twice. */
export const zoneCutProof: Proof = {
	name: 'zone-cut',
	separateProcesses: true,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const run = new ZoneCutRun(seed, variant === ProofVariant.Naive ? naiveNodeFile : undefined);
		const {events} = await run.run();
		return {
			...reportHistory(events, [
				...findFailedReads(events),
				...findRepeatedExecutions(events),
				...findFalseRefusals(events),
				...findForeignAnswers(events),
			]),
			outcomes: run.outcomesDuringPartition,
		};
	},
};
