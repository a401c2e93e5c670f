import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Finds requests that were sent but not answered by a backend server. */
export function findUnanswered(events: readonly HistoryEvent[]): string[] {
	const answered = events.filter(event => event.kind === EventKind.Answered && event.status === 200);
	const answeredIds = new Set(answered.map(event => event.requestId));
	const refusals = new Map(events.filter(event => event.errorKind !== undefined).map(event => [event.requestId, event.errorKind]));
	return events
		.filter(event => event.kind === EventKind.Sent && !answeredIds.has(event.requestId))
		.map(({requestId}) => `${requestId ?? '?'} was not answered: ${refusals.get(requestId) ?? 'nothing was received'}`);
}
