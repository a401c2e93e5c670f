import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type LogService} from '../../runtime/log/log-service.js';
import {type RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {rootRank} from '../admission/root-rank.js';
import {type MembershipService} from '../membership/membership-service.js';
import {AdmittedShares} from './admitted-shares.js';
import {type CallGraphService} from './call-graph-service.js';
import {classRank} from './class-rank.js';
import {Demands} from './demands.js';
import {directRetryFraction} from './direct-retry-fraction.js';
import {type RelayRequest} from './relay-request.js';
import {payableShare} from './payable-share.js';
import {rootIdOf} from './root-id-of.js';

/** Added to the rank of requests that call a service only once: with the same capacity, more of them complete than of requests that call it many times. */
const singleCallAdvance = 0.5;
/** Added to the rank of requests whose callers were refused before: a second refusal is worse than the first. */
const waitedAdvance = 0.25;
/** Weight of the root rank, which orders otherwise equal requests in the same way at every node. */
const rootRankWeight = 0.25;
/** Time after which a refused caller may retry: long enough that it counts as having waited, short enough for most latency objectives, with jitter between callers. */
const minRetryMs = 400;
const retryJitterMs = 600;
/** Mean number of calls from which nearly every request of a route is assumed to make at least one. */
const minCertainCalls = 0.9;

/**
Chances of being served without retries from which a request is admitted whatever the retry budget. Callers can repeat requests that are
idempotent, others would be left partly executed; for a caller that has come back, a small chance is better than a second refusal.
*/
const minUnaidedChance = 0.5;
const minUnaidedChanceIdempotent = 0.1;
const minUnaidedChanceReturned = 0.02;
/** Lower bound of the part of the demand that is not from returning callers. */
const minFirstFraction = 0.5;

/** Refuses root requests that a service on their path would refuse, before any work is done for them. */
export class EarlyRefusal {
	private readonly admittedShares = new AdmittedShares();
	/** Demand by service. */
	private readonly demands = new Demands();
	/** Demand by service without that of callers that return after a refusal: it was refused because of the same budget. */
	private readonly firstDemands = new Demands();

	constructor(
		private readonly callGraph: CallGraphService,
		private readonly membership: Pick<MembershipService, 'upstreams'>,
		private readonly settings: Pick<RelaySettingsService, 'relay'>,
		private readonly log: LogService,
		private readonly random: RandomGenerator,
	) {}

	/** Throws `overloaded` or `no-upstream` for a request that should be retried later; inner calls are never refused here. */
	check(request: RelayRequest): void {
		if (!request.isInner) {
			this.checkUpstreams(request);
			this.checkAdmittedShares(request);
		}
	}

	/** Records whether a request that entered at this time of the monotonic clock ended too late or was answered in time. */
	recordOutcome({route, service, isInner}: RelayRequest, isLate: boolean, enteredAtMs: number): void {
		if (!isInner) {
			this.admittedShares.recordOutcome([service, ...this.callGraph.callsOf(route).keys()], isLate, enteredAtMs);
		}
	}

	/** Services with an admitted share below 1, with their shares by queue and by lateness. */
	reportAdmittedShares(): Readonly<Record<string, {readonly byQueue: number; readonly byLateness: number}>> {
		const shares: Record<string, {byQueue: number; byLateness: number}> = {};
		for (const name of this.demands.names) {
			const byQueue = this.queueAdmittedShareOf(name);
			const byLateness = this.admittedShares.shareOf(name);
			if (byQueue < 1 || byLateness < 1) {
				shares[name] = {byQueue, byLateness};
			}
		}

		return shares;
	}

	/** Refuses a request that would fail midway because a service that it always calls has no upstream. */
	private checkUpstreams({requestId, route}: RelayRequest): void {
		for (const [name, calls] of this.callGraph.callsOf(route)) {
			if (calls >= minCertainCalls && this.membership.upstreams(name).length === 0) {
				this.log.info('refused early', {
					id: requestId, route, service: name, calls, upstreams: 0,
				});
				throw new KumquatlineError(ErrorKind.NoUpstream, `the request needs service ${name}, which has no upstream`, {started: false, retryAfterMs: this.retryAfterMs()});
			}
		}
	}

	/** Refuses a request if the demand of higher ranks already uses up the admitted share of a service that it needs. */
	private checkAdmittedShares(request: RelayRequest): void {
		const {requestId, route, service, priority, hasWaited} = request;
		const baseRank = classRank(priority) + (hasWaited ? waitedAdvance : 0) + (rootRank(rootIdOf(requestId)) * rootRankWeight);
		let refusal: {readonly name: string; readonly fields: Readonly<Record<string, unknown>>} | undefined;
		for (const [name, calls] of [[service, 1] as const, ...this.callGraph.callsOf(route)]) {
			const rank = baseRank + (calls > 1 ? 0 : singleCallAdvance);
			const demand = this.demands.of(name);
			demand.record(rank, calls);
			const firstDemand = this.firstDemands.of(name);
			firstDemand.record(0, hasWaited ? 0 : calls);
			const byQueue = this.queueAdmittedShareOf(name);
			const byLateness = this.admittedShares.shareOf(name);
			const payable = this.payableShareOf(request, name, calls);
			const byRefusals = payable === 1 ? 1 : payable * Math.max(minFirstFraction, firstDemand.perSecond / demand.perSecond);
			const share = Math.min(byQueue, byLateness, byRefusals);
			if (share < 1 && demand.fractionAbove(rank) >= share) {
				refusal ??= {
					name, fields: {
						byQueue, byLateness, byRefusals, rank, hasWaited,
					},
				};
			}
		}

		if (refusal) {
			const {name, fields} = refusal;
			this.log.info('refused early', {
				id: requestId, route, service: name, ...fields,
			});
			throw new KumquatlineError(ErrorKind.Overloaded, `service ${name} is overloaded and currently admits only requests of higher rank`, {started: false, retryAfterMs: this.retryAfterMs()});
		}
	}

	/** Admitted share of a service as its nodes determine it from their queues. */
	private queueAdmittedShareOf(name: string): number {
		return 1 - this.callGraph.thresholdOf(name);
	}

	/**
	Share of the requests whose retries the budget of a service can pay for while its backend servers refuse at random; others would fail
	midway. It is 1 for requests that may be served without retries, and for those whose own service refuses, as they fail unexecuted.
	*/
	private payableShareOf(request: RelayRequest, name: string, calls: number): number {
		const refusalRate = this.callGraph.refusalRateOf(name);
		const mayBeServed = (1 - refusalRate) ** calls >= minUnaidedChanceOf(request);
		return mayBeServed || name === request.service ? 1 : payableShare(this.settings.relay.retryRatio * directRetryFraction, refusalRate);
	}

	private retryAfterMs(): number {
		return minRetryMs + (retryJitterMs * uniformFloat64(this.random));
	}
}

function minUnaidedChanceOf({idempotent, hasWaited}: RelayRequest): number {
	if (!idempotent) {
		return minUnaidedChance;
	}

	return hasWaited ? minUnaidedChanceReturned : minUnaidedChanceIdempotent;
}
