import {type Disposable} from '../../base/disposable.js';
import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {RequestPacer} from './request-pacer.js';

export type QueuedWork = {
	/** Rank of the root request between 0 and 1, the same at every service: under overload some root requests are completed instead of all in part. */
	readonly rootRank: number;
	readonly isInner: boolean;
	/** Whether the caller was refused before and has waited. */
	readonly hasWaited: boolean;
	/** 0 is the highest. */
	readonly priority: number;
	/** Deadline on the monotonic clock. */
	readonly monotonicDeadlineMs: number;
};

type WaitingWork = QueuedWork & {
	readonly sortKey: number;
	readonly admitted: Deferred<void>;
	readonly enqueuedAtMs: number;
};

/** How far inner calls are moved ahead of earlier arrivals: their parent requests occupy slots while they wait. */
const innerAdvanceMs = 200;
/** How far requests of the highest root rank are moved ahead of the lowest: about the wait after which most nested calls miss their deadlines. */
const rootRankAdvanceMs = 300;
/** Delay for each step of priority. Two steps are less than `innerAdvanceMs`, so that inner calls go before root requests. */
const priorityStepMs = 75;
const lowestPriority = 4;
/** How far a request is moved ahead of similar ones if its caller has waited since a refusal. */
const waitedAdvanceMs = 50;
/** Fraction of the mean execution time that must remain before the deadline for work to be started. */
const minTimeFraction = 0.5;
/** Weight of the latest execution in the mean execution time. */
const latestWeight = 0.05;

/**
Slots of the VM's backend server and the queue of work waiting for one. The queue is ordered by arrival time with bounded
adjustments for inner calls and priority, so that nothing starves. Work that cannot complete before its deadline is refused
before it is started.
*/
export class SlotQueue implements Disposable {
	private readonly waiting: WaitingWork[] = [];
	private runningCount = 0;
	private meanRunMs = 0;
	private pacingTimer: NodeJS.Timeout | undefined;

	constructor(private readonly limit: () => number, private readonly pacer = new RequestPacer()) {}

	get running(): number {
		return this.runningCount;
	}

	get length(): number {
		return this.waiting.length;
	}

	/** Longest wait of any work in the queue; 0 if the queue is empty. */
	get oldestWaitMs(): number {
		let oldestAtMs = performance.now();
		const nowMs = oldestAtMs;
		for (const {enqueuedAtMs} of this.waiting) {
			oldestAtMs = Math.min(oldestAtMs, enqueuedAtMs);
		}

		return nowMs - oldestAtMs;
	}

	/** Resolves when the work holds a slot; rejects with `overloaded`, `deadline-exceeded` or `caller-gone`, in which case the work was not started. */
	async acquire(work: QueuedWork, signal: AbortSignal): Promise<void> {
		if (this.runningCount < this.limit() && this.waiting.length === 0 && this.pacer.tryTake()) {
			this.runningCount++;
			return;
		}

		const enqueuedAtMs = performance.now();
		const sortKey = sortKeyOf(work, enqueuedAtMs);
		const remainingMs = work.monotonicDeadlineMs - enqueuedAtMs;
		const waitMs = this.expectedWaitMs(sortKey);
		if (waitMs + (this.meanRunMs * minTimeFraction) > remainingMs) {
			throw new KumquatlineError(ErrorKind.Overloaded, 'the expected wait in the queue exceeds the remaining time', {started: false, retryAfterMs: waitMs});
		}

		await this.wait({
			...work, admitted: new Deferred<void>(), enqueuedAtMs, sortKey,
		}, signal);
	}

	/** Mean execution time; 0 before the first execution. */
	get meanMs(): number {
		return this.meanRunMs;
	}

	/** Frees the slot of work after an execution of this duration; undefined if the duration is not representative. */
	release(executionMs: number | undefined): void {
		this.runningCount--;
		if (executionMs !== undefined) {
			this.meanRunMs = this.meanRunMs === 0 ? executionMs : this.meanRunMs + ((executionMs - this.meanRunMs) * latestWeight);
		}

		this.admitWaiting();
	}

	/** Admits waiting work up to the limit and the rate. */
	admitWaiting(): void {
		while (this.waiting.length > 0 && this.runningCount < this.limit()) {
			const [work] = this.waiting;
			const hasTime = work.monotonicDeadlineMs - performance.now() >= this.meanRunMs * minTimeFraction;
			if (hasTime && !this.pacer.tryTake()) {
				this.admitLater();
				return;
			}

			this.waiting.shift();
			if (hasTime) {
				this.runningCount++;
				work.admitted.resolve();
			} else {
				work.admitted.reject(new KumquatlineError(ErrorKind.DeadlineExceeded, 'too little time remained when a slot became free', {started: false}));
			}
		}
	}

	dispose(): void {
		clearTimeout(this.pacingTimer);
	}

	private admitLater(): void {
		clearTimeout(this.pacingTimer);
		this.pacingTimer = setTimeout(() => {
			this.admitWaiting();
		}, Math.ceil(this.pacer.waitMs));
	}

	/** Expected wait of work with this sort key. */
	private expectedWaitMs(sortKey: number): number {
		const limit = Math.max(1, this.limit());
		const position = this.findPosition(sortKey);
		const surplus = this.runningCount + position + 1 - limit;
		return Math.max(Math.max(0, surplus) * this.meanRunMs / limit, this.pacer.waitMsOf(position));
	}

	private async wait(work: WaitingWork, signal: AbortSignal): Promise<void> {
		const onAbort = () => {
			const index = this.waiting.indexOf(work);
			if (index !== -1) {
				this.waiting.splice(index, 1);
				work.admitted.reject(abortedWaitError(signal, 'in the queue'));
			}
		};

		if (signal.aborted) {
			throw abortedWaitError(signal, 'before it entered the queue');
		}

		this.waiting.splice(this.findPosition(work.sortKey), 0, work);
		this.admitWaiting();
		signal.addEventListener('abort', onAbort, {once: true});
		try {
			await work.admitted.promise;
		} finally {
			signal.removeEventListener('abort', onAbort);
		}
	}

	private findPosition(sortKey: number): number {
		let low = 0;
		let high = this.waiting.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.waiting[middle].sortKey <= sortKey) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

/** Sort key in the queue: arrival time, delayed for each step of priority and advanced by root rank, for inner calls and for callers that have waited. */
function sortKeyOf({
	rootRank, isInner, hasWaited, priority,
}: QueuedWork, enqueuedAtMs: number): number {
	return enqueuedAtMs
		+ (Math.min(priority, lowestPriority) * priorityStepMs)
		- (rootRank * rootRankAdvanceMs)
		- (isInner ? innerAdvanceMs : 0)
		- (hasWaited ? waitedAdvanceMs : 0);
}

/** Error for work removed from the queue early: its deadline has passed, or the caller has disconnected. */
function abortedWaitError({reason}: AbortSignal, place: string): KumquatlineError {
	const kind = reason instanceof KumquatlineError ? reason.kind : ErrorKind.CallerGone;
	return new KumquatlineError(kind, `the request was aborted ${place}`, {started: false});
}
