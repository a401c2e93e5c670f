import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/** Finds ids whose attempts received different answers. */
export function findChangedAnswers(events: readonly HistoryEvent[]): string[] {
	const first = new Map<string, string>();
	const violations: string[] = [];
	for (const {kind, status, requestId = '', answerDigest = ''} of events) {
		if (kind !== EventKind.Answered || status !== 200) {
			continue;
		}

		const digest = first.get(requestId);
		if (digest !== undefined && digest !== answerDigest) {
			violations.push(`${requestId} received two different answers`);
		}

		first.set(requestId, answerDigest);
	}

	return violations;
}
