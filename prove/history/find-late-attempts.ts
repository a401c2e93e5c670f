import {Execution} from '../../src/base/execution.js';
import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/**
Told not run, not run, where executions are known by attempt: an id that was answered `not-run` began neither before the refused
attempt was sent nor through an attempt that was sent no later than it. An attempt sent later may run the id, even while the refusal
is on its way; `findFalseRefusals` does not allow that, and needs callers that wait for an answer before they repeat.
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
		const began = events.find(event => event.kind === EventKind.Began && event.requestId === refusal.requestId
			&& (event.atMs < refusedSentAtMs || sentAtMs.get(event.attemptId)! <= refusedSentAtMs));
		if (began) {
			violations.push(`${refusal.requestId} began by ${began.attemptId} at ${began.atMs} although ${refusal.attemptId} was told not run`);
		}
	}

	return violations;
}
