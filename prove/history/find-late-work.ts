import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Finds executions that a backend server started more than `boundMs` after it announced that it is draining. */
export function findLateWork(events: readonly HistoryEvent[], drainFault: string, boundMs: number): string[] {
	const announcements = events.filter(event => event.kind === EventKind.Fault && event.fault === drainFault);
	return announcements.flatMap(({nodeId, atMs}) => events
		.filter(event => event.kind === EventKind.ExecutionStarted && event.nodeId === nodeId && event.atMs > atMs + boundMs)
		.map(event => `${nodeId} started ${event.requestId} ${Math.round(event.atMs - atMs)} ms after it announced that it is draining`));
}
