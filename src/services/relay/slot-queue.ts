import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';

export type QueuedWork = {
	readonly isInner: boolean;
	/** Whether its caller was refused before and has waited. */
	readonly hasWaited: boolean;
	/** Rank, 0 the highest. */
	readonly priority: number;
	/** Steady clock at which its time is over. */
	readonly endsAtMs: number;
};

type Waiting = QueuedWork & {
	readonly admitted: Deferred<void>;
	readonly enqueuedAtMs: number;
};

/** Share of the usual run time that must be left for work to be begun at all. */
const leastTimeShare = 0.5;
/** Weight of the latest run in the mean run time. */
const latestWeight = 0.05;

/**
Slots of the VM's backend server and the work that waits for one: calls of running requests first, then by priority,
then by deadline. Work that can't end in time is refused before it is begun.
*/
export class SlotQueue {
	private readonly waiting: Waiting[] = [];
	private runningCount = 0;
	private meanRunMs = 0;

	constructor(private readonly limit: () => number) {}

	get running(): number {
		return this.runningCount;
	}

	get length(): number {
		return this.waiting.length;
	}

	/** How long the work has waited that waits longest; 0 for an empty queue. */
	get oldestWaitMs(): number {
		let oldestAtMs = performance.now();
		const nowMs = oldestAtMs;
		for (const {enqueuedAtMs} of this.waiting) {
			oldestAtMs = Math.min(oldestAtMs, enqueuedAtMs);
		}

		return nowMs - oldestAtMs;
	}

	/** Time that work of this rank would wait if it came now. */
	expectedWaitMs(work: QueuedWork): number {
		const limit = Math.max(1, this.limit());
		const ahead = this.findPlace(work);
		const surplus = this.runningCount + ahead + 1 - limit;
		return Math.max(0, surplus) * this.meanRunMs / limit;
	}

	/** Resolves when the work may begin; rejects with `overloaded` or `deadline-exceeded`, and then it was not begun. */
	async enter(work: QueuedWork, signal: AbortSignal): Promise<void> {
		if (this.runningCount < this.limit() && this.waiting.length === 0) {
			this.runningCount++;
			return;
		}

		const leftMs = work.endsAtMs - performance.now();
		const waitMs = this.expectedWaitMs(work);
		if (waitMs + (this.meanRunMs * leastTimeShare) > leftMs) {
			throw new KumquatlineError(ErrorKind.Overloaded, 'the queue is too long for the time left', {started: false, retryAfterMs: waitMs});
		}

		await this.wait({...work, admitted: new Deferred<void>(), enqueuedAtMs: performance.now()}, signal);
	}

	/** Mean time of a run; 0 before the first. */
	get meanMs(): number {
		return this.meanRunMs;
	}

	/** Ends work that had entered, after a run of so long; undefined when the run says nothing of others. */
	leave(runMs: number | undefined): void {
		this.runningCount--;
		if (runMs !== undefined) {
			this.meanRunMs = this.meanRunMs === 0 ? runMs : this.meanRunMs + ((runMs - this.meanRunMs) * latestWeight);
		}

		this.admitWaiting();
	}

	/** Lets waiting work in where the limit has room. */
	admitWaiting(): void {
		while (this.waiting.length > 0 && this.runningCount < this.limit()) {
			const work = this.waiting.shift()!;
			if (work.endsAtMs - performance.now() < this.meanRunMs * leastTimeShare) {
				work.admitted.reject(new KumquatlineError(ErrorKind.DeadlineExceeded, 'the time ran out in the queue', {started: false}));
				continue;
			}

			this.runningCount++;
			work.admitted.resolve();
		}
	}

	private async wait(work: Waiting, signal: AbortSignal): Promise<void> {
		const onAbort = () => {
			const index = this.waiting.indexOf(work);
			if (index !== -1) {
				this.waiting.splice(index, 1);
				work.admitted.reject(new KumquatlineError(ErrorKind.CallerGone, 'given up in the queue', {started: false}));
			}
		};

		if (signal.aborted) {
			throw new KumquatlineError(ErrorKind.CallerGone, 'given up before the queue', {started: false});
		}

		this.waiting.splice(this.findPlace(work), 0, work);
		signal.addEventListener('abort', onAbort, {once: true});
		try {
			await work.admitted.promise;
		} finally {
			signal.removeEventListener('abort', onAbort);
		}
	}

	private findPlace(work: QueuedWork): number {
		let low = 0;
		let high = this.waiting.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareWork(this.waiting[middle], work) <= 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

function compareWork(left: QueuedWork, right: QueuedWork): number {
	return Number(right.isInner) - Number(left.isInner)
		|| left.priority - right.priority
		|| Number(right.hasWaited) - Number(left.hasWaited)
		|| left.endsAtMs - right.endsAtMs;
}
