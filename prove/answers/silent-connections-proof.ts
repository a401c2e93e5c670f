import {FramedPeerService} from '../../src/runtime/peer/framed-peer-service.js';
import {testSettings} from '../../src/runtime/peer/test/peer-fixture.js';
import {RelayFault} from '../../standins/relay/relay-fault.js';
import {findForeignAnswers} from '../history/find-foreign-answers.js';
import {findRepeatedExecutions} from '../history/find-repeated-executions.js';
import {findUnanswered} from '../history/find-unanswered.js';
import {History} from '../history/history.js';
import {NewCallIdPeerService} from '../naive/new-call-id-peer-service.js';
import {UnprobedPeerService} from '../naive/unprobed-peer-service.js';
import {reportHistory} from '../process/report-history.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {AnswerRun} from './answer-run.js';
import {makeAnswerSchedule, type ScheduleShape} from './make-answer-schedule.js';

const shape: ScheduleShape = {
	nodes: 3,
	requests: 60,
	faults: 2,
	lengthMs: 300,
	faultKinds: [RelayFault.Swallow],
	hasBackendFaults: false,
};

const {probeAfterMs, abandonAfterMs} = testSettings('any');
/** A call's connection and its replacement may each become silent, the replacement while it is being opened. */
const silenceMs = shape.faults * (probeAfterMs + abandonAfterMs);
/** Allowance for execution, queueing and pauses of the machine. */
const allowanceMs = 800;
const boundMs = silenceMs + allowanceMs;

/**
While connections between nodes silently drop all bytes for good, every request is answered within its bound, which is its deadline,
and no booking is executed twice. Naive variants: connections are never probed, or calls without a reply are sent again under a new id.
*/
export const silentConnectionsProof: Proof = {
	name: 'silent-connections',
	separateProcesses: false,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const history = new History();
		const run = new AnswerRun(history, shape.nodes, boundMs, peerClassFor(seed, variant));
		try {
			await run.start();
			await run.runSchedule(makeAnswerSchedule(seed, shape));
		} finally {
			run.dispose();
		}

		const {events} = history;
		return reportHistory(events, [...findUnanswered(events), ...findForeignAnswers(events), ...findRepeatedExecutions(events)]);
	},
};

function peerClassFor(seed: number, variant: ProofVariant) {
	if (variant === ProofVariant.Real) {
		return FramedPeerService;
	}

	return seed % 2 === 0 ? UnprobedPeerService : NewCallIdPeerService;
}
