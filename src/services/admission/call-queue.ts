import {importanceRanks} from '../policy/importance-ranks.js';
import {type QueuedCall} from './queued-call.js';

/** Bounded priority queue: the most important call first, then the deepest (most work has been done for its parents), then the one with the earliest deadline. */
export class CallQueue {
	private readonly items: QueuedCall[] = [];

	constructor(private readonly capacity: number) {}

	get length(): number {
		return this.items.length;
	}

	/** When the oldest call was queued; undefined if the queue is empty. */
	get oldestEnqueuedAtMs(): number | undefined {
		let oldestEnqueuedAtMs: number | undefined;
		for (const {enqueuedAtMs} of this.items) {
			oldestEnqueuedAtMs = Math.min(oldestEnqueuedAtMs ?? enqueuedAtMs, enqueuedAtMs);
		}

		return oldestEnqueuedAtMs;
	}

	/** Inserts a call in order; returns the call that was dropped because the queue was full, if any, which may be the inserted one. */
	add(call: QueuedCall): QueuedCall | undefined {
		this.items.splice(this.findInsertionIndex(call), 0, call);
		return this.items.length > this.capacity ? this.items.pop() : undefined;
	}

	takeFirst(): QueuedCall | undefined {
		return this.items.shift();
	}

	remove(call: QueuedCall): boolean {
		const index = this.items.indexOf(call);
		if (index === -1) {
			return false;
		}

		this.items.splice(index, 1);
		return true;
	}

	/** Removes and returns all calls that satisfy a condition. */
	removeWhere(condition: (call: QueuedCall) => boolean): QueuedCall[] {
		const removed = this.items.filter(call => condition(call));
		for (const call of removed) {
			this.remove(call);
		}

		return removed;
	}

	private findInsertionIndex(call: QueuedCall): number {
		let low = 0;
		let high = this.items.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareCalls(this.items[middle], call) <= 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

function compareCalls(left: QueuedCall, right: QueuedCall): number {
	return importanceRanks[right.context.importance] - importanceRanks[left.context.importance]
		|| right.context.depth - left.context.depth
		|| left.context.deadlineAtMs - right.context.deadlineAtMs;
}
