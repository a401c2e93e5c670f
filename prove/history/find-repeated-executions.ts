import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Finds ids of non-idempotent calls that were executed more than once, whether at one backend server or at several. */
export function findRepeatedExecutions(events: readonly HistoryEvent[]): string[] {
	const firstStarts = new Map<string, HistoryEvent>();
	const violations: string[] = [];
	for (const event of events) {
		const counts = event.kind === EventKind.ExecutionStarted && !event.idempotent;
		if (!counts || event.requestId === undefined) {
			continue;
		}

		const first = firstStarts.get(event.requestId);
		if (first) {
			violations.push(`${event.requestId} started at ${first.nodeId ?? '?'} and again at ${event.nodeId ?? '?'} after ${event.atMs - first.atMs} ms`);
		}

		firstStarts.set(event.requestId, event);
	}

	return violations;
}
