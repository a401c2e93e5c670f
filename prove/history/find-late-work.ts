import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Finds executions that a backend server started more than `boundMs` after it announced that it is draining. */
export function findLateWork(events: readonly HistoryEvent[], leavingFault: string, boundMs: number): string[] {
	const announced = events.filter(event => event.kind === EventKind.Fault && event.fault === leavingFault);
	return announced.flatMap(({nodeId, atMs}) => events
		.filter(event => event.kind === EventKind.Began && event.nodeId === nodeId && event.atMs > atMs + boundMs)
		.map(event => `${nodeId} started ${event.requestId} ${Math.round(event.atMs - atMs)} ms after it announced that it is draining`));
}
