import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {type CallContext} from '../calls/call-context.js';
import {type AdmissionService, type AdmittedWork} from './admission-service.js';
import {admitsAt} from './admits-at.js';
import {LimitService} from './limit-service.js';
import {OwnTimeAverage} from './own-time-average.js';
import {OwnTimeMeter} from './own-time-meter.js';
import {ThresholdService} from './threshold-service.js';
import {type UpstreamLoad} from './upstream-load.js';
import {WaitingQueue} from './waiting-queue.js';
import {type WaitingWork} from './waiting-work.js';

/** Maximum number of calls queued at one node. */
const queueCapacity = 512;

/** Fraction of an importance rank by which inner calls are favoured, since other services have already done work for them. */
const paidAllowance = 0.3;
/** Time after which a refused caller should retry. */
const retryAfterMs = 1000;

/** Queues calls by importance and executes them within the concurrency limit. */
export class QueueAdmissionService implements AdmissionService {
	private readonly queue = new WaitingQueue(queueCapacity);
	private readonly ownTime = new OwnTimeAverage();
	private readonly idleWaiters: Array<Deferred<void>> = [];
	private running = 0;
	private queueWaitMs = 0;

	constructor(
		@MetricsService private readonly metrics: MetricsService,
		@ThresholdService private readonly threshold: ThresholdService,
		@LimitService private readonly limit: LimitService,
	) {}

	get load(): UpstreamLoad {
		this.observe();
		return {
			inFlight: this.running,
			limit: this.limit.limit,
			queued: this.queue.length,
			queueWaitMs: this.queueWaitMs,
			threshold: this.threshold.threshold,
		};
	}

	async run<T>(context: CallContext, work: AdmittedWork<T>, signal: AbortSignal): Promise<T> {
		await this.enter(context, signal);
		const ownTime = new OwnTimeMeter();
		try {
			const result = await work(ownTime, signal);
			this.noteEnd(ownTime);
			return result;
		} finally {
			this.running--;
			this.startWaiting();
			this.settleIdle();
		}
	}

	setAnnounced(slots: number, connections: number, port = 0): void {
		this.limit.setAnnounced(slots, connections, port);
		this.startWaiting();
	}

	noteShed(): void {
		this.metrics.count('admission.shed');
		this.limit.noteShed(this.running);
	}

	async whenIdle(): Promise<void> {
		const waiter = new Deferred<void>();
		this.idleWaiters.push(waiter);
		this.settleIdle();
		return waiter.promise;
	}

	/** Resolves when the call may be executed; it then already counts as running. */
	private async enter(context: CallContext, signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			throw notRun(ErrorKind.CallerGone, 'the caller disconnected before the request was queued');
		}

		this.observe();
		if (!this.admits(context)) {
			this.metrics.count('admission.refused', {importance: context.importance, caller: context.caller});
			throw notRun(ErrorKind.Overloaded, 'requests of this importance are currently refused');
		}

		const admitted = new Deferred<void>();
		const waiting: WaitingWork = {
			context, enqueuedAtMs: performance.now(), start: admitted.resolve, refuse: admitted.reject,
		};
		const onAbort = () => {
			if (this.queue.remove(waiting)) {
				waiting.refuse(notRun(ErrorKind.CallerGone, 'the caller disconnected while the request was queued'));
				this.settleIdle();
			}
		};

		signal.addEventListener('abort', onAbort, {once: true});
		this.queue.add(waiting)?.refuse(notRun(ErrorKind.Overloaded, 'the admission queue is full'));
		this.startWaiting();
		try {
			await admitted.promise;
		} finally {
			signal.removeEventListener('abort', onAbort);
		}
	}

	/** Records an execution that was not cut short. */
	private noteEnd({beganAtMs, ownTimeMs}: OwnTimeMeter): void {
		this.ownTime.note(ownTimeMs);
		this.limit.noteEnd({
			beganAtMs, ownTimeMs, running: this.running, hadWaiting: this.queue.length > 0,
		});
	}

	private startWaiting(): void {
		while (this.running < this.limit.limit) {
			const work = this.queue.takeFirst();
			if (!work) {
				return;
			}

			this.start(work);
		}

		this.observe();
		this.refuseBelowThreshold();
	}

	private observe(): void {
		const {oldestAtMs} = this.queue;
		this.threshold.observe({
			oldestWaitMs: oldestAtMs === undefined ? 0 : performance.now() - oldestAtMs,
			isFull: this.running >= this.limit.limit,
			ownTimeMs: this.ownTime.valueMs,
		});
	}

	/** Favours inner calls: their root request was admitted under a threshold that may have risen since, and refusing them wastes the work already done for the parent request. */
	private admits(context: CallContext): boolean {
		const {threshold} = this.threshold;
		return admitsAt(context.depth > 1 ? threshold - paidAllowance : threshold, context);
	}

	/** Refuses calls that were queued before the threshold rose above them. */
	private refuseBelowThreshold(): void {
		for (const work of this.queue.removeWhere(({context}) => !this.admits(context))) {
			this.metrics.count('admission.refused', {importance: work.context.importance, caller: work.context.caller});
			work.refuse(notRun(ErrorKind.Overloaded, 'requests of this importance are currently refused'));
		}
	}

	private start(work: WaitingWork): void {
		if (work.context.deadlineAtMs <= Date.now()) {
			work.refuse(notRun(ErrorKind.DeadlineExceeded, 'the deadline passed while the request was queued'));
			return;
		}

		this.queueWaitMs = performance.now() - work.enqueuedAtMs;
		this.metrics.record('admission.queue-wait', this.queueWaitMs, {importance: work.context.importance, caller: work.context.caller});
		this.running++;
		work.start();
	}

	private settleIdle(): void {
		if (this.running > 0 || this.queue.length > 0) {
			return;
		}

		for (const waiter of this.idleWaiters.splice(0)) {
			waiter.resolve();
		}
	}
}

function notRun(kind: ErrorKind, message: string): KumquatlineError {
	return new KumquatlineError(kind, message, {execution: Execution.NotRun, started: false, retryAfterMs: kind === ErrorKind.Overloaded ? retryAfterMs : undefined});
}
