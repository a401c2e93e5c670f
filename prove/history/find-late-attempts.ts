import {Execution} from '../../src/base/execution.js';
import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/**
Finds ids that were answered `not-run` but were executed, in histories that record the attempt of each execution. The execution must
not have started before the refused attempt was sent, nor through an attempt that was sent no later than the refused one. A later
attempt may be executed, even while the refusal is still in transit. `findFalseRefusals` does not allow that and requires callers that
wait for an answer before they retry.
*/
export function findLateAttempts(events: readonly HistoryEvent[]): string[] {
	const sentAtMs = new Map(events
		.filter(event => event.kind === EventKind.Sent)
		.map(event => [event.attemptId, event.atMs]));
	const violations: string[] = [];
	for (const refusal of events) {
		if (refusal.kind !== EventKind.Answered || refusal.execution !== Execution.NotRun) {
			continue;
		}

		const refusedSentAtMs = sentAtMs.get(refusal.attemptId)!;
		const startEvent = events.find(event => event.kind === EventKind.ExecutionStarted && event.requestId === refusal.requestId
			&& (event.atMs < refusedSentAtMs || sentAtMs.get(event.attemptId)! <= refusedSentAtMs));
		if (startEvent) {
			violations.push(`${refusal.requestId} was started by ${startEvent.attemptId} at ${startEvent.atMs} although ${refusal.attemptId} was answered not-run`);
		}
	}

	return violations;
}
