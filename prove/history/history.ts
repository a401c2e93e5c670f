import {type HistoryEvent} from './history-event.js';

/** Records the events of one run. */
export class History {
	readonly events: HistoryEvent[] = [];

	record(event: Omit<HistoryEvent, 'atMs'>): void {
		this.events.push({...event, atMs: Date.now()});
	}

	/** Adds events that were recorded elsewhere with the same clock. */
	add(events: readonly HistoryEvent[]): void {
		this.events.push(...events);
		this.events.sort((left, right) => left.atMs - right.atMs);
	}
}
