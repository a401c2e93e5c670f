import {fileURLToPath} from 'node:url';
import {findLateWork} from '../history/find-late-work.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {FaultKind} from './fault-kind.js';
import {LeavingRun} from './leaving-run.js';
import {reportHistory} from './report-history.js';

const naiveNodeFile = fileURLToPath(new URL('../naive/drain-ignoring-node.js', import.meta.url));
const boundMs = 3000;

/** A backend server that announces that it is draining starts no execution more than 3 s later, whatever its health endpoint reports. */
export const leavingProof: Proof = {
	name: 'leaving',
	separateProcesses: true,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const run = new LeavingRun(seed, variant === ProofVariant.Naive ? naiveNodeFile : undefined);
		const {events} = await run.run();
		return reportHistory(events, findLateWork(events, FaultKind.AnnouncedLeaving, boundMs));
	},
};
