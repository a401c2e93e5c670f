import {createRandom} from '../../base/create-random.js';
import {createUuid} from '../../base/create-uuid.js';
import {type Disposable} from '../../base/disposable.js';
import {drawByWeight} from '../../base/draw-by-weight.js';
import {ErrorKind} from '../../base/error-kind.js';
import {fromWireError} from '../../base/from-wire-error.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {Tally} from '../../base/tally.js';
import {LogService} from '../../runtime/log/log-service.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {type InstanceCondition} from '../backend/instance-condition.js';
import {type Member} from '../membership/member.js';
import {MembershipService} from '../membership/membership-service.js';
import {type Route} from '../routes/route.js';
import {goneStates} from '../membership/gone-states.js';
import {CallGraphService} from './call-graph-service.js';
import {EarlyRefusal} from './early-refusal.js';
import {type RelayAnswer} from './relay-answer.js';
import {relayMethod} from './relay-method.js';
import {type RelayReply} from './relay-reply.js';
import {type RelayRequest} from './relay-request.js';
import {type EnteredRequest, type RelayService} from './relay-service.js';
import {RetryBudgets} from './retry-budgets.js';
import {RunningRequests} from './running-requests.js';
import {UpstreamChooser} from './upstream-chooser.js';

/** Maximum number of upstreams that one request skips because they certainly did not start to execute it. */
const maxSkippedUpstreams = 6;
/** Full queues after which the others are assumed to be full too: load is spread evenly over them. */
const maxFullQueues = 1;
/** Maximum number of refusals of one request by upstreams with free capacity; the retry budget limits them for all requests together. */
const maxSheds = 12;
/** Utilisation from which an upstream that refuses is assumed to be full. */
const fullUtilisation = 0.85;
/** Time after which a caller may retry if no upstream was available. */
const noUpstreamRetryMs = 500;
/** Failures that say nothing about other upstreams, so that another may be tried. */
const reroutedKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.PeerUnreachable, ErrorKind.PeerChanged, ErrorKind.Draining, ErrorKind.BackendUnreachable, ErrorKind.BackendShed, ErrorKind.BackendReplaced, ErrorKind.Overloaded,
]);
/** Failures after which an idempotent request may be retried. */
const retryableKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.PeerLost, ErrorKind.BackendFailed]);
const okStatus = 200;
/** A request that fails with less than this fraction of its time remaining counts as late: nested calls reach their deadlines somewhat earlier. */
const lateRemainingFraction = 0.2;
/** Backend servers whose conditions are remembered, those with the latest statements. */
const maxConditions = 1000;
/** Outcome in the metrics for requests without any attempt. */
const notSent = 'not-sent';
const firstFailureStatus = 500;
/** A 504 from the backend server means that the deadline has passed, so there is no time for another upstream. */
const gatewayTimeoutStatus = 504;

/** Outcome of one attempt at an upstream. */
type Attempt = {
	readonly nodeId: string;
	readonly failure?: KumquatlineError;
	readonly answer?: RelayAnswer;
	readonly offered: boolean;
	/** Whether the upstream refused despite free capacity, which means that it refuses at random and may accept the next attempt. */
	readonly isShedWithCapacity: boolean;
};

/** Sends each request to an upstream of its route, and to further ones only if that is allowed and safe. */
export class MeshRelayService implements RelayService, Disposable {
	private readonly budgets: RetryBudgets;
	private readonly earlyRefusal: EarlyRefusal;
	private readonly random;
	private readonly chooser: UpstreamChooser;
	private readonly subscription: Disposable;
	/** Conditions that upstreams' backend servers have stated, by node id. */
	private readonly conditions = new Map<string, InstanceCondition>();
	/** Outcomes of root requests and of inner calls since the last report. */
	private readonly roots = new Tally();
	private readonly calls = new Tally();

	constructor(
		@PeerService private readonly peers: PeerService,
		@MembershipService membership: MembershipService,
		@RelaySettingsService relaySettings: RelaySettingsService,
		@SettingsService {settings}: SettingsService,
		@CallGraphService private readonly callGraph: CallGraphService,
		@RunningRequests private readonly runningRequests: RunningRequests,
		@MetricsService private readonly metrics: MetricsService,
		@LogService private readonly log: LogService,
	) {
		this.random = createRandom(settings.seed, `${settings.nodeId}/relay`);
		this.budgets = new RetryBudgets(relaySettings, membership, callGraph, metrics);
		this.earlyRefusal = new EarlyRefusal(callGraph, membership, relaySettings, log, this.random);
		this.chooser = new UpstreamChooser(membership, settings.availabilityZone, this.random);
		this.subscription = membership.onDidChange(({nodeId, state, service, slots, policyVersion, revision}) => {
			log.info('member changed', {
				member: nodeId, state, service, slots, policyVersion, revision,
			});
			if (goneStates.has(state)) {
				this.chooser.evict(nodeId);
			}
		});
	}

	dispose(): void {
		this.subscription.dispose();
	}

	async relay(entered: EnteredRequest, signal: AbortSignal): Promise<RelayAnswer> {
		const {matched, monotonicDeadlineMs, parentPriority, ...rest} = entered;
		const enteredAtMs = performance.now();
		const timeoutMs = monotonicDeadlineMs - enteredAtMs;
		const {service} = drawByWeight(matched.targets, ({weight}) => weight, this.random)!;
		const request: RelayRequest = {
			...rest,
			service,
			route: matched.name,
			idempotent: matched.idempotent,
			priority: Math.min(matched.priority, parentPriority ?? matched.priority),
			isInner: parentPriority !== undefined,
		};
		this.budgets.recordRequest(request);
		if (request.isInner) {
			this.runningRequests.countCalls(request.requestId, {[service]: 1});
		}

		const attempts: Attempt[] = [];
		try {
			this.earlyRefusal.check(request);
			return await this.tryUpstreams(request, matched, monotonicDeadlineMs, attempts, signal);
		} finally {
			this.recordLateness(request, attempts.at(-1), {enteredAtMs, remainingFraction: (monotonicDeadlineMs - performance.now()) / timeoutMs});
			this.logOutcome(request, attempts);
		}
	}

	reportLoad(): Readonly<Record<string, unknown>> | undefined {
		const roots = this.roots.take();
		const calls = this.calls.take();
		if (Object.keys(roots).length === 0 && Object.keys(calls).length === 0) {
			return undefined;
		}

		return {
			roots, calls, admittedShares: this.earlyRefusal.reportAdmittedShares(), ...this.chooser.reportChoices(),
		};
	}

	private async tryUpstreams(request: RelayRequest, matched: Route, monotonicDeadlineMs: number, attempts: Attempt[], signal: AbortSignal): Promise<RelayAnswer> {
		for (;;) {
			const member = this.chooseNext(request, matched, attempts);
			if (!member) {
				return resultOf(attempts, request.service);
			}

			const attempt = await this.attempt(member, request, monotonicDeadlineMs, signal);
			attempts.push(attempt);
			if (!this.mayRetry(attempt, attempts, request, matched)) {
				return resultOf(attempts, request.service);
			}
		}
	}

	/** An untried upstream, or, if none is left or allowed, one that refused despite free capacity. */
	private chooseNext({service}: RelayRequest, {maxUpstreams}: Route, attempts: readonly Attempt[]): Member | undefined {
		const tried = new Set(attempts.map(({nodeId}) => nodeId));
		const offeredTo = new Set(attempts.filter(({offered}) => offered).map(({nodeId}) => nodeId));
		const untried = offeredTo.size < maxUpstreams ? this.chooser.choose(service, ({nodeId}) => !tried.has(nodeId)) : undefined;
		if (untried) {
			return untried;
		}

		const shedWithCapacity = new Set(attempts.filter(({isShedWithCapacity}) => isShedWithCapacity).map(({nodeId}) => nodeId));
		return shedWithCapacity.size > 0 ? this.chooser.choose(service, ({nodeId}) => shedWithCapacity.has(nodeId)) : undefined;
	}

	/** Whether another attempt may be made after this one. */
	private mayRetry({failure, answer, offered, isShedWithCapacity}: Attempt, attempts: readonly Attempt[], request: RelayRequest, matched: Route): boolean {
		const fullQueues = attempts.filter(attempt => attempt.failure?.kind === ErrorKind.Overloaded).length;
		const sheds = attempts.filter(attempt => attempt.isShedWithCapacity).length;
		if (attempts.length - sheds > maxSkippedUpstreams || sheds >= maxSheds || fullQueues > maxFullQueues) {
			return false;
		}

		const isSafe = failure?.started === false
			? reroutedKinds.has(failure.kind)
			: request.idempotent && (answer ? isRetryableStatus(answer.status) : retryableKinds.has(failure!.kind));
		if (!isSafe) {
			return false;
		}

		const offeredAttempts = attempts.filter(attempt => attempt.offered && !attempt.isShedWithCapacity).length;
		if (!offered) {
			return true;
		}

		return isShedWithCapacity ? this.budgets.tryConsumeRefused(request) : offeredAttempts < matched.maxUpstreams && this.budgets.tryConsume(request);
	}

	private async attempt(member: Member, request: RelayRequest, monotonicDeadlineMs: number, signal: AbortSignal): Promise<Attempt> {
		const {nodeId} = member;
		const startedAtMs = performance.now();
		let reply: RelayReply | undefined;
		try {
			const timeoutMs = monotonicDeadlineMs - performance.now();
			if (timeoutMs <= 0) {
				throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the request was sent to an upstream', {started: false});
			}

			reply = await this.peers.call(member, relayMethod, {...request, condition: this.conditions.get(nodeId)}, {callId: createUuid(), timeoutMs, signal});
			const attempt = toAttempt(nodeId, reply);
			this.recordReply(request, reply, attempt.isShedWithCapacity);
			this.recordCondition(nodeId, reply);
			return attempt;
		} catch (error) {
			const failure = error instanceof KumquatlineError ? error : new KumquatlineError(ErrorKind.Internal, 'unexpected error while sending the request to an upstream', {cause: error});
			return {
				nodeId, failure, offered: failure.started !== false, isShedWithCapacity: false,
			};
		} finally {
			this.chooser.recordOutcome(member, {load: reply?.load, elapsedMs: performance.now() - startedAtMs, succeeded: isSuccess(reply)});
		}
	}

	/** Records the inner calls, the thresholds and the refusal rates that a reply reports. */
	private recordReply({requestId, route, service, isInner}: RelayRequest, {status, calls = {}, load}: RelayReply, isRefused: boolean): void {
		this.callGraph.recordCalls(route, calls, status !== undefined && status < firstFailureStatus);
		if (isInner) {
			this.runningRequests.countCalls(requestId, calls);
		}

		this.callGraph.recordRefusalRate(service, this.budgets.recordAttempt(service, isRefused), load.refusals);
		this.callGraph.recordThreshold(service, this.chooser.thresholdOf(service), load.heard);
	}

	/**
	Remembers what an upstream's backend server states, also after its node has left: the node may be restarting beside it.
	Only an answer shows that nothing is stated any more.
	*/
	private recordCondition(nodeId: string, {condition, status}: RelayReply): void {
		if (condition !== undefined || status !== undefined) {
			this.conditions.delete(nodeId);
		}

		if (condition) {
			this.conditions.set(nodeId, condition);
		}

		if (this.conditions.size > maxConditions) {
			const [oldest] = this.conditions.keys();
			this.conditions.delete(oldest);
		}
	}

	/** Reports successful and late requests to early refusal, lateness judged by the remaining fraction of their time. Other failures say nothing about the load. */
	private recordLateness(request: RelayRequest, last: Attempt | undefined, {enteredAtMs, remainingFraction}: {readonly enteredAtMs: number; readonly remainingFraction: number}): void {
		const isServed = last?.answer !== undefined && last.answer.status < firstFailureStatus;
		const isLate = !isServed && last?.offered === true && remainingFraction < lateRemainingFraction;
		if (isServed || isLate) {
			this.earlyRefusal.recordOutcome(request, isLate, enteredAtMs);
		}
	}

	private logOutcome({requestId, route, service, isInner}: RelayRequest, attempts: readonly Attempt[]): void {
		const last = attempts.at(-1);
		const outcome = String(last?.answer?.status ?? last?.failure?.kind ?? notSent);
		this.metrics.count('relayed', {route, outcome});
		(isInner ? this.calls : this.roots).add(outcome);
		// Most inner calls succeed at the first attempt; the lines of their parents and the metrics cover them.
		// Requests without any attempt are covered by the log line of their refusal.
		const isRoutine = attempts.length === 0 || (isInner && attempts.length === 1 && last?.answer?.status === okStatus);
		this.log[isRoutine ? 'debug' : 'info']('relayed', {
			id: requestId,
			route,
			service,
			attempts: attempts.map(({nodeId, failure, answer, offered}) => ({
				node: nodeId, status: answer?.status, failure: failure?.kind, reason: failure?.message, offered,
			})),
		});
	}
}

function isRetryableStatus(status: number): boolean {
	return status >= firstFailureStatus && status !== gatewayTimeoutStatus;
}

/** Whether an upstream counts as healthy after a reply; a refusal because of a full queue says nothing about its health. */
function isSuccess(reply: RelayReply | undefined): boolean {
	return reply?.failure ? reply.failure.kind === ErrorKind.Overloaded : (reply?.status ?? firstFailureStatus) < firstFailureStatus;
}

function toAttempt(nodeId: string, {
	status, headers, body = new Uint8Array(), failure, offered, load,
}: RelayReply): Attempt {
	if (status === undefined || !headers) {
		return {
			nodeId,
			failure: fromWireError(failure ?? {kind: ErrorKind.PeerProtocol, message: 'the reply of the peer node contains neither an answer nor a failure'}),
			offered,
			isShedWithCapacity: failure?.kind === ErrorKind.BackendShed && load.inFlight < load.limit * fullUtilisation,
		};
	}

	return {
		nodeId, answer: {status, headers, body}, offered, isShedWithCapacity: false,
	};
}

/** Outcome of all attempts: the last answer if there was one, else the last failure that leaves open whether the request was executed, else the last failure. */
function resultOf(attempts: readonly Attempt[], service: string): RelayAnswer {
	const answer = attempts.findLast(attempt => attempt.answer)?.answer;
	if (answer) {
		return answer;
	}

	const uncertain = attempts.findLast(({failure}) => failure && failure.started !== false)?.failure;
	throw uncertain ?? attempts.at(-1)?.failure ?? new KumquatlineError(ErrorKind.NoUpstream, `service ${service} has no upstream that can take the request`, {
		started: false, retryAfterMs: noUpstreamRetryMs,
	});
}
