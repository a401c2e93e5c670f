import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {type CallContext} from '../calls/call-context.js';
import {type AdmissionService, type ExecuteCallback} from './admission-service.js';
import {passesThreshold} from './passes-threshold.js';
import {ConcurrencyLimitService} from './concurrency-limit-service.js';
import {SelfTimeAverage} from './self-time-average.js';
import {SelfTimeMeter} from './self-time-meter.js';
import {ThresholdService} from './threshold-service.js';
import {type UpstreamLoad} from './upstream-load.js';
import {CallQueue} from './call-queue.js';
import {type QueuedCall} from './queued-call.js';

/** Maximum number of calls queued at one node. */
const queueCapacity = 512;

/** Fraction of an importance rank by which inner calls are favoured, since other services have already done work for them. */
const innerCallAllowance = 0.3;
/** Time after which a refused caller should retry. */
const retryAfterMs = 1000;

/** Queues calls by importance and executes them within the concurrency limit. */
export class QueueAdmissionService implements AdmissionService {
	private readonly queue = new CallQueue(queueCapacity);
	private readonly selfTime = new SelfTimeAverage();
	private readonly idleWaiters: Array<Deferred<void>> = [];
	private running = 0;
	private queueWaitMs = 0;

	constructor(
		@MetricsService private readonly metrics: MetricsService,
		@ThresholdService private readonly threshold: ThresholdService,
		@ConcurrencyLimitService private readonly limit: ConcurrencyLimitService,
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

	async run<T>(context: CallContext, execute: ExecuteCallback<T>, signal: AbortSignal): Promise<T> {
		await this.waitForAdmission(context, signal);
		const selfTime = new SelfTimeMeter();
		try {
			const result = await execute(selfTime, signal);
			this.recordExecution(selfTime);
			return result;
		} finally {
			this.running--;
			this.startQueued();
			this.resolveIdleWaiters();
		}
	}

	setAnnouncedCapacity(slots: number, connections: number, port = 0): void {
		this.limit.setAnnouncedCapacity(slots, connections, port);
		this.startQueued();
	}

	recordShed(): void {
		this.metrics.count('admission.shed');
		this.limit.recordShed(this.running);
	}

	async whenIdle(): Promise<void> {
		const waiter = new Deferred<void>();
		this.idleWaiters.push(waiter);
		this.resolveIdleWaiters();
		return waiter.promise;
	}

	/** Resolves when the call may be executed; it then already counts as running. */
	private async waitForAdmission(context: CallContext, signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			throw notExecuted(ErrorKind.CallerGone, 'the caller disconnected before the request was queued');
		}

		this.observe();
		if (!this.admits(context)) {
			this.metrics.count('admission.refused', {importance: context.importance, caller: context.caller});
			throw notExecuted(ErrorKind.Overloaded, 'requests of this importance are currently refused');
		}

		const admitted = new Deferred<void>();
		const waiting: QueuedCall = {
			context, enqueuedAtMs: performance.now(), start: admitted.resolve, refuse: admitted.reject,
		};
		const onAbort = () => {
			if (this.queue.remove(waiting)) {
				waiting.refuse(notExecuted(ErrorKind.CallerGone, 'the caller disconnected while the request was queued'));
				this.resolveIdleWaiters();
			}
		};

		signal.addEventListener('abort', onAbort, {once: true});
		this.queue.add(waiting)?.refuse(notExecuted(ErrorKind.Overloaded, 'the admission queue is full'));
		this.startQueued();
		try {
			await admitted.promise;
		} finally {
			signal.removeEventListener('abort', onAbort);
		}
	}

	/** Records an execution that was not cut short. */
	private recordExecution({startedAtMs, selfTimeMs}: SelfTimeMeter): void {
		this.selfTime.record(selfTimeMs);
		this.limit.recordExecution({
			startedAtMs, selfTimeMs, running: this.running, hadQueuedCalls: this.queue.length > 0,
		});
	}

	private startQueued(): void {
		while (this.running < this.limit.limit) {
			const call = this.queue.takeFirst();
			if (!call) {
				return;
			}

			this.start(call);
		}

		this.observe();
		this.refuseBelowThreshold();
	}

	private observe(): void {
		const {oldestEnqueuedAtMs} = this.queue;
		this.threshold.observe({
			oldestWaitMs: oldestEnqueuedAtMs === undefined ? 0 : performance.now() - oldestEnqueuedAtMs,
			isFull: this.running >= this.limit.limit,
			selfTimeMs: this.selfTime.valueMs,
		});
	}

	/** Favours inner calls: their root request was admitted under a threshold that may have risen since, and refusing them wastes the work already done for the parent request. */
	private admits(context: CallContext): boolean {
		const {threshold} = this.threshold;
		return passesThreshold(context.depth > 1 ? threshold - innerCallAllowance : threshold, context);
	}

	/** Refuses calls that were queued before the threshold rose above them. */
	private refuseBelowThreshold(): void {
		for (const call of this.queue.removeWhere(({context}) => !this.admits(context))) {
			this.metrics.count('admission.refused', {importance: call.context.importance, caller: call.context.caller});
			call.refuse(notExecuted(ErrorKind.Overloaded, 'requests of this importance are currently refused'));
		}
	}

	private start(call: QueuedCall): void {
		if (call.context.deadlineAtMs <= Date.now()) {
			call.refuse(notExecuted(ErrorKind.DeadlineExceeded, 'the deadline passed while the request was queued'));
			return;
		}

		this.queueWaitMs = performance.now() - call.enqueuedAtMs;
		this.metrics.record('admission.queue-wait', this.queueWaitMs, {importance: call.context.importance, caller: call.context.caller});
		this.running++;
		call.start();
	}

	private resolveIdleWaiters(): void {
		if (this.running > 0 || this.queue.length > 0) {
			return;
		}

		for (const waiter of this.idleWaiters.splice(0)) {
			waiter.resolve();
		}
	}
}

function notExecuted(kind: ErrorKind, message: string): KumquatlineError {
	return new KumquatlineError(kind, message, {execution: Execution.NotRun, started: false, retryAfterMs: kind === ErrorKind.Overloaded ? retryAfterMs : undefined});
}
