import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Whole answers, right caller: what a caller accepted carries the mark of its own request. */
export function findForeignAnswers(events: readonly HistoryEvent[]): string[] {
	return events
		.filter(event => event.kind === EventKind.Answered && event.status === 200 && event.answerMark !== event.mark)
		.map(event => `${event.requestId ?? '?'} was answered with the mark ${event.answerMark ?? 'none'} instead of ${event.mark ?? '?'}`);
}
