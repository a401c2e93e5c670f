import {Execution} from '../../src/base/execution.js';
import {EventKind} from './event-kind.js';
import {type HistoryEvent} from './history-event.js';

/**
Told not run, not run: an id that was answered `not-run` had no execution before, and has one after it only
when a later attempt of the caller's asked for it.
*/
export function findFalseRefusals(events: readonly HistoryEvent[]): string[] {
	const violations: string[] = [];
	for (const refusal of events) {
		if (refusal.kind !== EventKind.Answered || refusal.execution !== Execution.NotRun) {
			continue;
		}

		const same = events.filter(event => event.requestId === refusal.requestId);
		const laterAttempt = same.find(event => event.kind === EventKind.Sent && event.atMs >= refusal.atMs);
		for (const began of same.filter(event => event.kind === EventKind.Began)) {
			if (!laterAttempt || began.atMs < laterAttempt.atMs) {
				violations.push(`${refusal.requestId ?? '?'} was told not run at ${refusal.atMs} and began at ${began.atMs} on ${began.nodeId ?? '?'}`);
			}
		}
	}

	return violations;
}
