import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type LogService} from '../../runtime/log/log-service.js';
import {rootShare} from '../admission/root-share.js';
import {type MembershipService} from '../membership/membership-service.js';
import {type CallGraphService} from './call-graph-service.js';
import {LatenessThresholds} from './lateness-thresholds.js';
import {type RelayRequest} from './relay-request.js';
import {rootIdOf} from './root-id-of.js';

/** Rank of requests with priority 0; each step down is one less, and the least is 0. */
const highestRank = 2;
/** Ranks by which a request goes before its like when its caller was refused before: being refused again is worse than once. */
const waitedBonus = 0.8;
/** Time after which a refused caller may come back: long enough that it counts as having waited, early enough for most objectives, spread over callers. */
const leastRetryMs = 400;
const retrySpreadMs = 600;
/** Mean calls of a route from which on nearly every request makes one. */
const certainCalls = 0.9;

/** Refuses requests at their entry that a service on their way would refuse, before any work is done for them. */
export class EarlyRefusal {
	private readonly lateness = new LatenessThresholds();
	/** Services that requests have needed. */
	private readonly services = new Set<string>();

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
			this.checkThresholds(request);
		}
	}

	/** Notes that a request that was let in ended with an answer in time, or when its time was over. */
	noteEnd({route, service, isInner}: RelayRequest, isLate: boolean): void {
		if (!isInner) {
			this.lateness.note([service, ...this.callGraph.callsOf(route).keys()], isLate);
		}
	}

	/** Refusal thresholds of services that are above 0, by what raised them. */
	reportThresholds(): Readonly<Record<string, {readonly queue: number; readonly lateness: number}>> {
		const thresholds: Record<string, {queue: number; lateness: number}> = {};
		for (const name of this.services) {
			const queue = this.callGraph.thresholdOf(name);
			const lateness = this.lateness.thresholdOf(name);
			if (queue > 0 || lateness > 0) {
				thresholds[name] = {queue, lateness};
			}
		}

		return thresholds;
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

	private checkThresholds({requestId, route, service, priority, hasWaited}: RelayRequest): void {
		const basis = Math.max(0, highestRank - priority) + (hasWaited ? waitedBonus : 0);
		const share = rootShare(rootIdOf(requestId));
		for (const [name, calls] of [[service, 1] as const, ...this.callGraph.callsOf(route)]) {
			const queueThreshold = this.callGraph.thresholdOf(name);
			const latenessThreshold = this.lateness.thresholdOf(name);
			const threshold = Math.max(queueThreshold, latenessThreshold);
			// Of one rank, requests that need a service many times are refused before those that need it once.
			this.services.add(name);
			const rank = basis + (calls > 1 ? share / 2 : 0.5 + (share / 2));
			if (rank < threshold) {
				this.log.info('refused early', {
					id: requestId, route, service: name, queueThreshold, latenessThreshold, rank, hasWaited,
				});
				throw new KumquatlineError(ErrorKind.Overloaded, `service ${name} refuses work of this rank at present`, {started: false, retryAfterMs: this.retryAfterMs()});
			}
		}
	}

	private retryAfterMs(): number {
		return leastRetryMs + (retrySpreadMs * uniformFloat64(this.random));
	}
}
