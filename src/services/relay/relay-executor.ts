import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {Tally} from '../../base/tally.js';
import {toWireError} from '../../base/to-wire-error.js';
import {findHeader} from '../../runtime/http/find-header.js';
import {HeaderNames} from '../../runtime/http/header-names.js';
import {LogService} from '../../runtime/log/log-service.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {type PeerCall, PeerService} from '../../runtime/peer/peer-service.js';
import {ProcessorService} from '../../runtime/processor/processor-service.js';
import {ConcurrencyLimitService} from '../admission/concurrency-limit-service.js';
import {rootRank} from '../admission/root-rank.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {type InstanceReport} from '../backend/instance-report.js';
import {InstanceService} from '../backend/instance-service.js';
import {type ExchangeAnswer} from '../exchange/exchange-answer.js';
import {ExchangeService} from '../exchange/exchange-service.js';
import {BackendCircuitBreaker} from './backend-circuit-breaker.js';
import {type CallCounts, CallGraphService} from './call-graph-service.js';
import {type LoadSource} from './load-source.js';
import {BackendAdmittedShare} from './backend-admitted-share.js';
import {relayMethod} from './relay-method.js';
import {type RelayReply} from './relay-reply.js';
import {type RelayRequest} from './relay-request.js';
import {rootIdOf} from './root-id-of.js';
import {RequestPacer} from './request-pacer.js';
import {RunningRequests} from './running-requests.js';
import {SlotQueue} from './slot-queue.js';
import {StatedCondition} from './stated-condition.js';

/** Fraction of the reported slots above which a refusal indicates overload; below it, the backend server refuses at random. */
const overloadFraction = 0.85;

/**
Margin by which the timeout of the backend server is shorter than the request's remaining time, and its upper bound as a fraction of
that time. The backend server's own timeout answer then arrives before the request is aborted here; an abort would close the
connection. The margin applies once at each hop of a chain.
*/
const answerMarginMs = 12;
const maxAnswerMarginFraction = 0.1;
const msPerSecond = 1000;
/** Value of the header with which a backend server states that it leaves. */
const leavingValue = '1';

type ExecutionProgress = {
	/** Whether the request was sent to the backend server. */
	offered: boolean;
	/** Inner calls that the execution made. */
	calls?: CallCounts;
};

/** Executes requests from all nodes at the VM's own backend server. Only this node sends requests to that backend server, so its state here is authoritative. */
export class RelayExecutor implements Disposable, LoadSource {
	private readonly handlers = new DisposableStore();
	private readonly pacer = new RequestPacer();
	private readonly condition = new StatedCondition();
	private readonly queue: SlotQueue;
	private lastBootedAtMs = 0;
	private isDraining = false;
	private readonly breaker = new BackendCircuitBreaker();
	private readonly backendAdmittedShare = new BackendAdmittedShare();
	private readonly idleWaiters: Array<Deferred<void>> = [];
	/** Executions since the last report, by outcome. */
	private readonly executions = new Tally();

	constructor(
		@PeerService peers: PeerService,
		@InstanceService private readonly instances: InstanceService,
		@ConcurrencyLimitService private readonly limit: ConcurrencyLimitService,
		@CallGraphService private readonly callGraph: CallGraphService,
		@ExchangeService private readonly exchanges: ExchangeService,
		@HeaderNames private readonly names: HeaderNames,
		@MetricsService private readonly metrics: MetricsService,
		@LogService private readonly log: LogService,
		@RunningRequests private readonly runningRequests: RunningRequests,
		@ProcessorService private readonly processor: ProcessorService,
	) {
		this.queue = this.handlers.add(new SlotQueue(() => this.limit.limit, this.pacer));
		this.handlers.add(peers.handle(relayMethod, async (request, call) => this.reply(request, call)));
	}

	/** Applies the number of slots that the backend server reported. */
	applyInstance(instance: InstanceReport | undefined): void {
		if (instance) {
			if (instance.bootedAtMs !== this.lastBootedAtMs) {
				this.lastBootedAtMs = instance.bootedAtMs;
				this.breaker.reset();
			}

			this.limit.setAnnouncedCapacity(instance.slots, instance.slots, instance.bootedAtMs);
			this.applyCondition(instance);
			this.queue.admitWaiting();
		}
	}

	/** Refuses all further requests. */
	drain(): void {
		this.isDraining = true;
	}

	/** Resolves when no request is running or waiting. */
	async whenIdle(): Promise<void> {
		const waiter = new Deferred<void>();
		this.idleWaiters.push(waiter);
		this.resolveIdleWaiters();
		return waiter.promise;
	}

	reportLoad(): Readonly<Record<string, unknown>> | undefined {
		const executions = this.executions.take();
		if (Object.keys(executions).length === 0 && this.queue.running === 0) {
			return undefined;
		}

		return {
			executions,
			slots: this.instances.current?.slots ?? 0,
			limit: this.limit.limit,
			statedLimit: this.condition.of(this.instances.current)?.requestsPerSecond,
			running: this.queue.running,
			waiting: this.queue.length,
			oldestWaitMs: Math.round(this.queue.oldestWaitMs),
			meanRunMs: Math.round(this.queue.meanMs),
			admittedShare: this.backendAdmittedShare.share,
			processorShare: this.processor.utilisation,
		};
	}

	dispose(): void {
		this.handlers.dispose();
	}

	private async reply(request: RelayRequest, call: PeerCall): Promise<RelayReply> {
		const progress: ExecutionProgress = {offered: false};
		const startedAtMs = performance.now();
		try {
			const {status, headers, body} = await this.execute(request, call, progress);
			this.metrics.record('execution', performance.now() - startedAtMs, {route: request.route});
			this.executions.add('answered');
			return {
				status, headers, body, ...progress, ...this.report(),
			};
		} catch (error) {
			const failure = toWireError(error);
			// With few running requests a refusal says nothing about the capacity of the backend server.
			if (failure.kind === ErrorKind.BackendShed && this.queue.running > (this.instances.current?.slots ?? 0) * overloadFraction) {
				this.limit.recordShed(this.queue.running);
			}

			this.logFailure(request, call, failure.kind, failure.message, performance.now() - startedAtMs, progress);
			return {failure, ...progress, ...this.report()};
		}
	}

	private logFailure({requestId, route}: RelayRequest, {from}: PeerCall, kind: ErrorKind, reason: string, elapsedMs: number, {offered}: ExecutionProgress): void {
		this.metrics.count('executions.failed', {route, kind});
		this.executions.add(kind);
		this.log.info('not executed', {
			id: requestId, route, from: from.nodeId, kind, reason, offered, elapsedMs: Math.round(elapsedMs), running: this.queue.running, waiting: this.queue.length, limit: this.limit.limit,
		});
	}

	/** What each reply tells of the backend server. */
	private report(): Pick<RelayReply, 'load' | 'condition'> {
		const condition = this.condition.of(this.instances.current);
		return {load: this.load(), ...(condition && (condition.requestsPerSecond !== undefined || condition.isLeaving) && {condition})};
	}

	private load(): UpstreamLoad {
		this.observe();
		return {
			inFlight: this.queue.running, limit: this.effectiveLimit, queued: this.queue.length, queueWaitMs: 0,
			threshold: 1 - this.backendAdmittedShare.share,
			heard: this.callGraph.heard,
			refusals: this.callGraph.refusals,
		};
	}

	/** Number of requests that can run at once, by the limit of concurrency and by the rate (Little's law). */
	private get effectiveLimit(): number {
		const {meanMs} = this.queue;
		return meanMs === 0 ? this.limit.limit : Math.min(this.limit.limit, this.pacer.requestsPerSecond * meanMs / msPerSecond);
	}

	private observe(): void {
		this.backendAdmittedShare.observe({
			limit: this.effectiveLimit, waiting: this.queue.length, meanRunMs: this.queue.meanMs, processorShare: this.processor.utilisation,
		});
	}

	private async execute(request: RelayRequest, call: PeerCall, progress: ExecutionProgress): Promise<ExchangeAnswer> {
		const monotonicDeadlineMs = performance.now() + call.timeoutMs;
		const instance = this.checkInstance(request.service);
		if (request.condition) {
			this.condition.adopt(instance, request.condition);
			this.applyCondition(instance);
			this.checkInstance(request.service);
		}

		if (!this.breaker.maySend(this.queue.meanMs)) {
			throw new KumquatlineError(ErrorKind.BackendUnreachable, 'the backend server currently does not respond', {started: false});
		}

		this.backendAdmittedShare.recordArrival();
		this.observe();
		await this.queue.acquire({
			rootRank: rootRank(rootIdOf(request.requestId)), isInner: request.isInner, hasWaited: request.hasWaited, priority: request.priority, monotonicDeadlineMs,
		}, call.signal);
		try {
			return await this.send(request, monotonicDeadlineMs, call.signal, progress);
		} finally {
			this.resolveIdleWaiters();
		}
	}

	/** Sends a request that holds a slot. */
	private async send(request: RelayRequest, monotonicDeadlineMs: number, signal: AbortSignal, progress: ExecutionProgress): Promise<ExchangeAnswer> {
		const startedAtMs = performance.now();
		const end = this.breaker.recordRequest();
		this.runningRequests.start(request.requestId, request.priority);
		let isAnswered = false;
		try {
			// The backend server may have been replaced while the request waited in the queue.
			const instance = this.checkInstance(request.service);
			progress.offered = true;
			const answer = await this.exchanges.exchange(this.prepare(request, instance, monotonicDeadlineMs), signal);
			isAnswered = true;
			this.condition.record(instance, {
				requestsPerSecond: parseLimit(findHeader(answer.headers, this.names.requestLimit)),
				isLeaving: findHeader(answer.headers, this.names.leaving) === leavingValue,
			});
			this.applyCondition(instance);
			return answer;
		} catch (error) {
			const kind = error instanceof KumquatlineError ? error.kind : ErrorKind.Internal;
			isAnswered = kind === ErrorKind.BackendShed || kind === ErrorKind.BackendReplaced;
			if (kind === ErrorKind.BackendUnreachable) {
				progress.offered = false;
				this.breaker.recordConnectFailure();
			}

			throw error;
		} finally {
			end(isAnswered);
			progress.calls = this.runningRequests.end(request.requestId);
			this.queue.release(isAnswered ? performance.now() - startedAtMs : undefined);
		}
	}

	/** Applies what the current instance states; an earlier instance's last answers are ignored. */
	private applyCondition(instance: InstanceReport): void {
		const {current} = this.instances;
		if (current?.bootedAtMs !== instance.bootedAtMs) {
			return;
		}

		const {requestsPerSecond, isLeaving} = this.condition.of(instance) ?? {};
		if (isLeaving) {
			this.instances.recordLeaving(instance);
		}

		if (this.pacer.setLimit(requestsPerSecond)) {
			this.log.info('backend server states another limit', {instance: instance.instanceId, requestsPerSecond});
			this.queue.admitWaiting();
		}
	}

	/** The instance that accepts requests of a service; throws if there is none. */
	private checkInstance(service: string): InstanceReport {
		const instance = this.instances.current;
		if (instance?.service !== service) {
			throw new KumquatlineError(ErrorKind.BackendUnreachable, `this node has no backend server of ${service}`, {started: false});
		}

		if (instance.draining || this.isDraining) {
			throw new KumquatlineError(ErrorKind.Draining, 'the backend server is draining', {started: false});
		}

		return instance;
	}

	private prepare({requestId, method, target, headers, body = new Uint8Array()}: RelayRequest, instance: InstanceReport, monotonicDeadlineMs: number) {
		const remainingMs = Math.floor(monotonicDeadlineMs - performance.now());
		const backendTimeoutMs = Math.floor(remainingMs - Math.min(answerMarginMs, remainingMs * maxAnswerMarginFraction));
		if (backendTimeoutMs <= 0) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the request was sent to the backend server', {started: false});
		}

		return {
			requestId,
			method,
			target,
			headers: [...headers, this.names.deadlineMs, String(backendTimeoutMs), this.names.expectedInstance, instance.instanceId],
			body,
		};
	}

	private resolveIdleWaiters(): void {
		if (this.queue.running === 0 && this.queue.length === 0) {
			for (const waiter of this.idleWaiters.splice(0)) {
				waiter.resolve();
			}
		}
	}
}

/** Parses a stated limit; a malformed one counts as none. */
function parseLimit(text: string | undefined): number | undefined {
	return text !== undefined && /^\d+(?:\.\d+)?$/v.test(text) ? Number(text) : undefined;
}
