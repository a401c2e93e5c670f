import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type LogService} from '../../runtime/log/log-service.js';
import {rootShare} from '../admission/root-share.js';
import {type MembershipService} from '../membership/membership-service.js';
import {AdmittedShares} from './admitted-shares.js';
import {type CallGraphService} from './call-graph-service.js';
import {DemandByRank} from './demand-by-rank.js';
import {type RelayRequest} from './relay-request.js';
import {rootIdOf} from './root-id-of.js';

/** Rank of requests with priority 0; each step down is one less, and the least is 0. */
const highestRank = 4;
/** Advance within a class of requests that need a service once: they get more done with what it can do than those that need it many times. */
const singleCallAdvance = 0.5;
/** Advance within that of retrying callers that were refused before: being refused again is worse than once. */
const waitedAdvance = 0.25;
/** Part of the rank by which the requests of a kind differ, in the same way at every entry. */
const shareWeight = 0.25;
/** Time after which a refused caller may come back: long enough that it counts as having waited, early enough for most objectives, spread over callers. */
const leastRetryMs = 400;
const retrySpreadMs = 600;
/** Mean calls of a route from which on nearly every request makes one. */
const certainCalls = 0.9;

/** Refuses requests at their entry that a service on their way would refuse, before any work is done for them. */
export class EarlyRefusal {
	private readonly admittedShares = new AdmittedShares();
	/** Demand for each service that requests have needed. */
	private readonly demands = new Map<string, DemandByRank>();

	constructor(
		private readonly callGraph: CallGraphService,
		private readonly membership: Pick<MembershipService, 'upstreams'>,
		private readonly log: LogService,
		private readonly random: RandomGenerator,
	) {}

	/** Throws `overloaded` or `no-upstream` for a request that has to come back later; calls of running requests always go on. */
	check(request: RelayRequest): void {
		if (!request.isInner) {
			this.checkUpstreams(request);
			this.checkShares(request);
		}
	}

	/** Notes that a request which entered at a time of the steady clock ended with an answer in time, or when its time was over. */
	noteOutcome({route, service, isInner}: RelayRequest, isLate: boolean, enteredAtMs: number): void {
		if (!isInner) {
			this.admittedShares.noteOutcome([service, ...this.callGraph.callsOf(route).keys()], isLate, enteredAtMs);
		}
	}

	/** Services of whose work not all is admitted, with what admits how much of it. */
	reportShares(): Readonly<Record<string, {readonly byQueue: number; readonly byLateness: number}>> {
		const shares: Record<string, {byQueue: number; byLateness: number}> = {};
		for (const name of this.demands.keys()) {
			const byQueue = this.queueShareOf(name);
			const byLateness = this.admittedShares.shareOf(name);
			if (byQueue < 1 || byLateness < 1) {
				shares[name] = {byQueue, byLateness};
			}
		}

		return shares;
	}

	/** Refuses a request that would fail midway, as nobody is there to answer a call that it makes each time. */
	private checkUpstreams({requestId, route}: RelayRequest): void {
		for (const [name, calls] of this.callGraph.callsOf(route)) {
			if (calls >= certainCalls && this.membership.upstreams(name).length === 0) {
				this.log.info('refused early', {
					id: requestId, route, service: name, calls, upstreams: 0,
				});
				throw new KumquatlineError(ErrorKind.NoUpstream, `service ${name}, which the request needs, has no upstream`, {started: false, retryAfterMs: this.retryAfterMs()});
			}
		}
	}

	/** Refuses a request if requests of higher rank ask for as much of a service as it admits. */
	private checkShares({requestId, route, service, priority, hasWaited}: RelayRequest): void {
		const basis = Math.max(0, highestRank - priority) + (hasWaited ? waitedAdvance : 0) + (rootShare(rootIdOf(requestId)) * shareWeight);
		let refusing: {readonly name: string; readonly fields: Readonly<Record<string, unknown>>} | undefined;
		for (const [name, calls] of [[service, 1] as const, ...this.callGraph.callsOf(route)]) {
			const rank = basis + (calls > 1 ? 0 : singleCallAdvance);
			const demand = this.demandFor(name);
			demand.note(rank, calls);
			const byQueue = this.queueShareOf(name);
			const byLateness = this.admittedShares.shareOf(name);
			const share = Math.min(byQueue, byLateness);
			if (share < 1 && demand.shareAbove(rank) >= share) {
				refusing ??= {
					name, fields: {
						byQueue, byLateness, rank, hasWaited,
					},
				};
			}
		}

		if (refusing) {
			const {name, fields} = refusing;
			this.log.info('refused early', {
				id: requestId, route, service: name, ...fields,
			});
			throw new KumquatlineError(ErrorKind.Overloaded, `service ${name} refuses work of this rank at present`, {started: false, retryAfterMs: this.retryAfterMs()});
		}
	}

	/** Share of the work for a service that its nodes admit, by what they are offered. */
	private queueShareOf(name: string): number {
		return 1 - this.callGraph.thresholdOf(name);
	}

	private demandFor(name: string): DemandByRank {
		const known = this.demands.get(name) ?? new DemandByRank();
		this.demands.set(name, known);
		return known;
	}

	private retryAfterMs(): number {
		return leastRetryMs + (retrySpreadMs * uniformFloat64(this.random));
	}
}
