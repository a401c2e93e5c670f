import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';

export type QueuedWork = {
	/** Place of the request's root between 0 and 1, the same at every service: under overload some roots are served whole rather than all in part. */
	readonly share: number;
	readonly isInner: boolean;
	/** Whether its caller was refused before and has waited. */
	readonly hasWaited: boolean;
	/** Rank, 0 the highest. */
	readonly priority: number;
	/** Steady clock at which its time is over. */
	readonly endsAtMs: number;
};

type Waiting = QueuedWork & {
	readonly order: number;
	readonly admitted: Deferred<void>;
	readonly enqueuedAtMs: number;
};

/** How far calls of running requests go before others that came earlier: their parents hold slots meanwhile. */
const innerAdvanceMs = 200;
/** How far the foremost root goes before the last: about the wait at which most calls below come too late. */
const shareAdvanceMs = 300;
/** How far each step of priority puts work back: two steps are less than the advance of calls, so that these go before all that begins. */
const priorityStepMs = 75;
const lowestPriority = 4;
/** How far a request goes before its like when its caller has waited since a refusal. */
const waitedAdvanceMs = 50;
/** Share of the usual run time that must be left for work to be begun at all. */
const leastTimeShare = 0.5;
/** Weight of the latest run in the mean run time. */
const latestWeight = 0.05;

/**
Slots of the VM's backend server and the work that waits for one: in order of arrival, with bounded advances for calls of
running requests and for priority, so that nothing starves. Work that can't end in time is refused before it is begun.
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

	/** Resolves when the work may begin; rejects with `overloaded` or `deadline-exceeded`, and then it was not begun. */
	async enter(work: QueuedWork, signal: AbortSignal): Promise<void> {
		if (this.runningCount < this.limit() && this.waiting.length === 0) {
			this.runningCount++;
			return;
		}

		const enqueuedAtMs = performance.now();
		const order = orderOf(work, enqueuedAtMs);
		const leftMs = work.endsAtMs - enqueuedAtMs;
		const waitMs = this.expectedWaitMs(order);
		if (waitMs + (this.meanRunMs * leastTimeShare) > leftMs) {
			throw new KumquatlineError(ErrorKind.Overloaded, 'the queue is too long for the time left', {started: false, retryAfterMs: waitMs});
		}

		await this.wait({
			...work, admitted: new Deferred<void>(), enqueuedAtMs, order,
		}, signal);
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

	/** Time that work of this place in the queue will wait. */
	private expectedWaitMs(order: number): number {
		const limit = Math.max(1, this.limit());
		const surplus = this.runningCount + this.findPlace(order) + 1 - limit;
		return Math.max(0, surplus) * this.meanRunMs / limit;
	}

	private async wait(work: Waiting, signal: AbortSignal): Promise<void> {
		const onAbort = () => {
			const index = this.waiting.indexOf(work);
			if (index !== -1) {
				this.waiting.splice(index, 1);
				work.admitted.reject(endOfWait(signal, 'in the queue'));
			}
		};

		if (signal.aborted) {
			throw endOfWait(signal, 'before the queue');
		}

		this.waiting.splice(this.findPlace(work.order), 0, work);
		signal.addEventListener('abort', onAbort, {once: true});
		try {
			await work.admitted.promise;
		} finally {
			signal.removeEventListener('abort', onAbort);
		}
	}

	private findPlace(order: number): number {
		let low = 0;
		let high = this.waiting.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.waiting[middle].order <= order) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

/** Place of work in the queue: when it came, put off for each step of priority and brought forward for the work already done for its parent request. */
function orderOf({
	share, isInner, hasWaited, priority,
}: QueuedWork, enqueuedAtMs: number): number {
	return enqueuedAtMs
		+ (Math.min(priority, lowestPriority) * priorityStepMs)
		- (share * shareAdvanceMs)
		- (isInner ? innerAdvanceMs : 0)
		- (hasWaited ? waitedAdvanceMs : 0);
}

/** What work that leaves the queue early is told: its time is over, or the caller has disconnected. */
function endOfWait({reason}: AbortSignal, place: string): KumquatlineError {
	const kind = reason instanceof KumquatlineError ? reason.kind : ErrorKind.CallerGone;
	return new KumquatlineError(kind, `given up ${place}`, {started: false});
}
