import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Finds answers that don't carry the mark of the caller's own request: damaged ones, and answers to other requests. */
export function findForeignAnswers(events: readonly HistoryEvent[]): string[] {
	return events
		.filter(event => event.kind === EventKind.Answered && event.status === 200 && event.answerMark !== event.mark)
		.map(event => `${event.requestId ?? '?'} was answered with the mark ${event.answerMark ?? 'none'} instead of ${event.mark ?? '?'}`);
}
