import {FramedPeerService} from '../../src/runtime/peer/framed-peer-service.js';
import {RelayFault} from '../../standins/relay/relay-fault.js';
import {findFalseRefusals} from '../history/find-false-refusals.js';
import {findForeignAnswers} from '../history/find-foreign-answers.js';
import {findRepeatedExecutions} from '../history/find-repeated-executions.js';
import {EventKind} from '../history/event-kind.js';
import {History} from '../history/history.js';
import {type HistoryEvent} from '../history/history-event.js';
import {OrderedPeerService} from '../naive/ordered-peer-service.js';
import {reportHistory} from '../process/report-history.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {AnswerRun} from './answer-run.js';
import {makeAnswerSchedule, type ScheduleShape} from './make-answer-schedule.js';

const shape: ScheduleShape = {
	nodes: 3,
	requests: 60,
	faults: 6,
	lengthMs: 300,
	faultKinds: Object.values(RelayFault),
	hasBackendFaults: true,
};
const timeoutMs = 1000;
/** With fewer answers a run doesn't prove anything about them. */
const minAnswered = 20;

/**
Callers receive complete answers to their own requests while answers are delayed, reordered, cut, duplicated and swapped between
connections, to peers and to backend servers. Naive variant: replies are matched to calls by their order.
*/
export const wholeAnswersProof: Proof = {
	name: 'whole-answers',
	separateProcesses: false,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const history = new History();
		const run = new AnswerRun(history, shape.nodes, timeoutMs, variant === ProofVariant.Naive ? OrderedPeerService : FramedPeerService);
		try {
			await run.start();
			await run.runSchedule(makeAnswerSchedule(seed, shape));
		} finally {
			run.dispose();
		}

		const {events} = history;
		return reportHistory(events, [
			...findForeignAnswers(events),
			...findRepeatedExecutions(events),
			...findFalseRefusals(events),
			...findTooFewAnswers(events),
		]);
	},
};

function findTooFewAnswers(events: readonly HistoryEvent[]): string[] {
	const answered = events.filter(event => event.kind === EventKind.Answered && event.status === 200).length;
	return answered < minAnswered ? [`only ${answered} of ${shape.requests} requests were answered`] : [];
}
