import {DemandByRank} from './demand-by-rank.js';
import {payableShare} from './payable-share.js';
import {RefusalRate} from './refusal-rate.js';

/** Negligible refusals are passed on to no other node. */
const minReportedRate = 0.02;

/**
Decides which refused requests for a service are retried while its backend servers refuse at random.

Answers chains of several calls to such a service: retries that are spread over all of them complete none. Calls are ranked by the
root request that they belong to, in the same way at every node, and only those of the highest ranks are retried, as many as the budget
pays for until they are served.
*/
export class RetryFunding {
	private readonly demand = new DemandByRank();
	private readonly refusals = new RefusalRate();

	/** Recent refusal rate, 0 if it is negligible; undefined if there were too few attempts to tell. */
	get refusalRate(): number | undefined {
		const {rate, isSignificant} = this.refusals;
		if (!isSignificant) {
			return undefined;
		}

		return rate < minReportedRate ? 0 : rate;
	}

	recordRequest(rank: number): void {
		this.demand.record(rank, 1);
	}

	recordAttempt(isRefused: boolean): void {
		this.refusals.recordAttempt(isRefused);
	}

	/** Whether a request of this rank is among those that the budget, in retries per second, pays for. */
	isFunded(rank: number, retriesPerSecond: number): boolean {
		const {perSecond} = this.demand;
		return perSecond === 0 || this.demand.fractionAbove(rank) < payableShare(retriesPerSecond / perSecond, this.refusals.rate);
	}
}
