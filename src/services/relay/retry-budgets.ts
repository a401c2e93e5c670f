import {type MetricsService} from '../../runtime/metrics/metrics-service.js';
import {type RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {rootRank} from '../admission/root-rank.js';
import {MemberState} from '../membership/member-state.js';
import {type MembershipService} from '../membership/membership-service.js';
import {type CallGraphService} from './call-graph-service.js';
import {classRank} from './class-rank.js';
import {directRetryFraction} from './direct-retry-fraction.js';
import {type RelayRequest} from './relay-request.js';
import {rootIdOf} from './root-id-of.js';
import {RetryFunding} from './retry-funding.js';
import {RetryBudget} from './retry-budget.js';

/** Fraction of the allowed retries of a service for inner calls of retried requests, which up to three nodes of a chain count. */
const innerFraction = 0.08;

/**
Fraction of a budget that requests may use while more urgent ones need retries too. The least urgent requests are the most
frequent and would otherwise use up the budget.
*/
const contendedFraction = 0.2;

/** Less than a step of priority: the root request orders requests of the same class. */
const rootRankWeight = 0.95;

/** Retry budgets of this node for each service. A retry also counts towards the services of the inner calls that it repeats. */
export class RetryBudgets {
	private readonly direct = new Map<string, RetryBudget>();
	private readonly inner = new Map<string, RetryBudget>();
	private readonly fundings = new Map<string, RetryFunding>();
	/** When requests last needed a retry, by service and priority. */
	private readonly lastNeededAtMs = new Map<string, Map<number, number>>();

	constructor(
		private readonly settings: Pick<RelaySettingsService, 'relay'>,
		private readonly membership: Pick<MembershipService, 'members'>,
		private readonly callGraph: CallGraphService,
		private readonly metrics: MetricsService,
	) {}

	/** Counts a request for its service, and the inner calls that it is expected to make. */
	recordRequest(request: RelayRequest): void {
		const {route, service} = request;
		this.budgetOf(this.direct, service, directRetryFraction).recordRequests(1);
		this.fundingOf(service).recordRequest(retryRank(request));
		for (const [name, count] of this.callGraph.callsOf(route)) {
			this.budgetOf(this.inner, name, innerFraction).recordRequests(count);
		}
	}

	/** Counts an attempt; returns the service's recent refusal rate, if it is known. */
	recordAttempt(service: string, isRefused: boolean): number | undefined {
		const funding = this.fundingOf(service);
		funding.recordAttempt(isRefused);
		return funding.refusalRate;
	}

	/** Consumes one retry of a request that was refused despite free capacity; false if the budget is for requests of higher ranks, or is spent. */
	tryConsumeRefused(request: RelayRequest): boolean {
		const {retriesPerSecond} = this.budgetOf(this.direct, request.service, directRetryFraction);
		return this.fundingOf(request.service).isFunded(retryRank(request), retriesPerSecond) && this.consume(request, 1);
	}

	/** Consumes one retry of a request and of all inner calls that it repeats; false if the budget of one of the services does not allow it. */
	tryConsume(request: RelayRequest): boolean {
		return this.consume(request, this.isContended(request.service, request.priority) ? contendedFraction : 1);
	}

	private consume({route, service}: RelayRequest, usableFraction: number): boolean {
		const direct = this.budgetOf(this.direct, service, directRetryFraction);
		const calls = [...this.callGraph.callsOf(route)].map(([name, count]) => ({budget: this.budgetOf(this.inner, name, innerFraction), count}));
		const isGranted = direct.allows(1, usableFraction) && calls.every(({budget, count}) => budget.allows(count));
		this.metrics.count('retries', {route, outcome: isGranted ? 'granted' : 'denied'});
		if (isGranted) {
			direct.recordRetries(1);
			for (const {budget, count} of calls) {
				budget.recordRetries(count);
			}
		}

		return isGranted;
	}

	/** Whether more urgent requests to a service have needed retries within the retry window. */
	private isContended(service: string, priority: number): boolean {
		const nowMs = performance.now();
		const neededByPriority = this.lastNeededAtMs.get(service) ?? new Map<number, number>();
		this.lastNeededAtMs.set(service, neededByPriority.set(priority, nowMs));
		return [...neededByPriority].some(([other, atMs]) => other < priority && nowMs - atMs < this.settings.relay.retryWindowMs);
	}

	/** Number of nodes that share the slack. Nodes considered dead are included: they may be alive on the other side of a network partition and use their part. */
	private get slackNodeCount(): number {
		return this.membership.members.filter(({state}) => state !== MemberState.Left).length;
	}

	private fundingOf(service: string): RetryFunding {
		const known = this.fundings.get(service) ?? new RetryFunding();
		this.fundings.set(service, known);
		return known;
	}

	private budgetOf(budgets: Map<string, RetryBudget>, service: string, fraction: number): RetryBudget {
		let budget = budgets.get(service);
		if (!budget) {
			budget = new RetryBudget(() => {
				const {retryRatio, retryWindowMs, retrySlack} = this.settings.relay;
				return {
					ratio: retryRatio, windowMs: retryWindowMs, slack: retrySlack, fraction,
				};
			}, () => this.slackNodeCount);
			budgets.set(service, budget);
		}

		return budget;
	}
}

/** Rank of a request for retries: by class, then by root request. */
function retryRank({requestId, priority}: RelayRequest): number {
	return classRank(priority) + (rootRank(rootIdOf(requestId)) * rootRankWeight);
}
