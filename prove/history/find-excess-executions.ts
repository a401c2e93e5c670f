import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/**
Finds root requests that a service executed more than 1 + `retryTotal` times.
A retry high in the chain causes another execution at every service below it, so the bound holds for each service separately.
*/
export function findExcessExecutions(events: readonly HistoryEvent[], retryTotal: number): string[] {
	const executions = new Map<string, number>();
	for (const {kind, traceId, service} of events) {
		if (kind !== EventKind.ExecutionStarted || !traceId) {
			continue;
		}

		const key = `${traceId} at ${service ?? '?'}`;
		executions.set(key, (executions.get(key) ?? 0) + 1);
	}

	return [...executions]
		.filter(([, count]) => count > 1 + retryTotal)
		.map(([key, count]) => `${key}: ${count} executions with a retry total of ${retryTotal}`);
}
