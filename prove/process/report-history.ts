import {ErrorKind} from '../../src/base/error-kind.js';
import {Execution} from '../../src/base/execution.js';
import {EventKind} from '../history/event-kind.js';
import {type HistoryEvent} from '../history/history-event.js';
import {emptyReport} from '../empty-report.js';
import {type ProofReport} from '../proof-report.js';

/** Creates the report on one history, with the violations that checks found in it. */
export function reportHistory(events: readonly HistoryEvent[], violations: readonly string[]): ProofReport {
	const refused = events.filter(event => event.kind === EventKind.Answered && event.errorKind !== undefined);
	const unknown = refused.filter(event => event.execution === Execution.Unknown);
	const faults = events.filter(event => event.kind === EventKind.Fault);
	return {
		...emptyReport,
		schedules: 1,
		faultsByKind: countBy(faults, event => event.fault),
		ids: new Set(events.filter(event => event.kind === EventKind.Sent).map(event => event.requestId)).size,
		executions: events.filter(event => event.kind === EventKind.ExecutionStarted).length,
		refusalsByKind: countBy(refused, event => event.errorKind),
		unknowns: unknown.length,
		unexplainedUnknowns: faults.length === 0 ? unknown.filter(event => event.errorKind === ErrorKind.OutcomeUnknown).length : 0,
		violations,
	};
}

function countBy(events: readonly HistoryEvent[], name: (event: HistoryEvent) => string | undefined): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const event of events) {
		const key = name(event) ?? 'none';
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
}
