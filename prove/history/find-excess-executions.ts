import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Retry total: the executions of one caller's request, over its whole chain, stay within one for each hop and the total. */
export function findExcessExecutions(events: readonly HistoryEvent[], hops: number, retryTotal: number): string[] {
	const executions = new Map<string, number>();
	for (const event of events) {
		if (event.kind === EventKind.Began && event.traceId) {
			executions.set(event.traceId, (executions.get(event.traceId) ?? 0) + 1);
		}
	}

	return [...executions]
		.filter(([, count]) => count > hops + retryTotal)
		.map(([traceId, count]) => `${traceId}: ${count} executions over ${hops} hops with a retry total of ${retryTotal}`);
}
