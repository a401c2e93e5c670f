import {importanceRanks} from '../policy/importance-ranks.js';
import {type WaitingWork} from './waiting-work.js';

/** Bounded priority queue: the most important call first, then the deepest (most work has been done for its parents), then the one with the earliest deadline. */
export class WaitingQueue {
	private readonly items: WaitingWork[] = [];

	constructor(private readonly capacity: number) {}

	get length(): number {
		return this.items.length;
	}

	/** When the oldest call was queued; undefined if the queue is empty. */
	get oldestAtMs(): number | undefined {
		let oldestAtMs: number | undefined;
		for (const {enqueuedAtMs} of this.items) {
			oldestAtMs = Math.min(oldestAtMs ?? enqueuedAtMs, enqueuedAtMs);
		}

		return oldestAtMs;
	}

	/** Inserts a call in order; returns the call that was dropped because the queue was full, if any, which may be the inserted one. */
	add(work: WaitingWork): WaitingWork | undefined {
		this.items.splice(this.findPlace(work), 0, work);
		return this.items.length > this.capacity ? this.items.pop() : undefined;
	}

	takeFirst(): WaitingWork | undefined {
		return this.items.shift();
	}

	remove(work: WaitingWork): boolean {
		const index = this.items.indexOf(work);
		if (index === -1) {
			return false;
		}

		this.items.splice(index, 1);
		return true;
	}

	/** Removes and returns all calls that satisfy a condition. */
	removeWhere(condition: (work: WaitingWork) => boolean): WaitingWork[] {
		const removed = this.items.filter(work => condition(work));
		for (const work of removed) {
			this.remove(work);
		}

		return removed;
	}

	private findPlace(work: WaitingWork): number {
		let low = 0;
		let high = this.items.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareWork(this.items[middle], work) <= 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

function compareWork(left: WaitingWork, right: WaitingWork): number {
	return importanceRanks[right.context.importance] - importanceRanks[left.context.importance]
		|| right.context.depth - left.context.depth
		|| left.context.deadlineAtMs - right.context.deadlineAtMs;
}
