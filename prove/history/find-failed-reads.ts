import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Finds reads that a node did not answer with 200 although no fault was injected at the node itself. */
export function findFailedReads(events: readonly HistoryEvent[]): string[] {
	const faultyNodeIds = new Set(events.filter(event => event.kind === EventKind.Fault).map(event => event.nodeId));
	return events
		.filter(event => event.kind === EventKind.Answered || event.kind === EventKind.Lost)
		.filter(event => event.requestId?.startsWith('read-') && !faultyNodeIds.has(event.nodeId) && event.status !== 200)
		.map(event => `${event.requestId} at ${event.nodeId} ended with ${event.errorKind ?? event.status ?? 'nothing'}`);
}
