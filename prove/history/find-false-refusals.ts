import {Execution} from '../../src/base/execution.js';
import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/**
Finds ids that were answered `not-run` but were executed. An execution is allowed only if the caller sent
another attempt after the refusal and before the execution started.
*/
export function findFalseRefusals(events: readonly HistoryEvent[]): string[] {
	const violations: string[] = [];
	for (const refusal of events) {
		if (refusal.kind !== EventKind.Answered || refusal.execution !== Execution.NotRun) {
			continue;
		}

		const requestEvents = events.filter(event => event.requestId === refusal.requestId);
		const laterAttempt = requestEvents.find(event => event.kind === EventKind.Sent && event.atMs >= refusal.atMs);
		for (const startEvent of requestEvents.filter(event => event.kind === EventKind.ExecutionStarted)) {
			if (!laterAttempt || startEvent.atMs < laterAttempt.atMs) {
				violations.push(`${refusal.requestId ?? '?'} was answered not-run at ${refusal.atMs} but started at ${startEvent.atMs} on ${startEvent.nodeId ?? '?'}`);
			}
		}
	}

	return violations;
}
