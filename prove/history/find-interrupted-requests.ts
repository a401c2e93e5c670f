import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Finds attempts that failed although they were sent to a node before its graceful shutdown started. Each must be answered with 200. */
export function findInterruptedRequests(events: readonly HistoryEvent[]): string[] {
	const stopping = new Set<string>();
	const expected = new Set<string>();
	const violations: string[] = [];
	for (const event of events) {
		const {kind, nodeId = '', attemptId = ''} = event;
		if (kind === EventKind.Fault) {
			stopping.add(nodeId);
		} else if (kind === EventKind.Healed) {
			stopping.delete(nodeId);
		} else if (kind === EventKind.Sent && !stopping.has(nodeId)) {
			expected.add(attemptId);
		} else if (expected.has(attemptId) && isFailure(event)) {
			violations.push(`attempt ${attemptId} at ${nodeId} ended with ${event.errorKind ?? event.status ?? 'nothing'}`);
		}
	}

	return violations;
}

function isFailure({kind, status}: HistoryEvent): boolean {
	return kind === EventKind.Lost || (kind === EventKind.Answered && status !== 200);
}
