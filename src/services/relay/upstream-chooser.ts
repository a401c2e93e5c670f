import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {drawByWeight} from '../../base/draw-by-weight.js';
import {Tally} from '../../base/tally.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {type Member} from '../membership/member.js';
import {type MembershipService} from '../membership/membership-service.js';
import {type UpstreamRecord} from '../routing/upstream-record.js';
import {UpstreamHealth} from './upstream-health.js';

/** Time after which a reported load is ignored. */
const loadLifetimeMs = 2000;
/** Utilisation above which requests start to wait at an upstream, so that upstreams of other zones are considered. */
const fullUtilisation = 0.85;
/** Failure rate from which upstreams of other zones are considered. */
const crossZoneFailureRate = 0.3;
/** Refused fraction of the demand for an upstream from which upstreams of other zones are considered: its node may be overloaded while it has free slots. */
const crossZoneRefusedFraction = 0.1;
/** Failure rate from which an upstream is skipped while another is healthy. */
const unhealthyFailureRate = 0.5;
/** Fraction of the typical answer time that is expected of an upstream without recent samples: low enough that it is tried, high enough that it is not flooded. */
const unsampledTimeFraction = 0.5;
/** Number of candidates compared: services have few upstreams, with very different speeds. */
const candidateDraws = 3;
/** Factor by which the expected time in the own zone may exceed that in another zone: traffic between zones is expensive. */
const zonePreferenceFactor = 1.4;
/** Lower bound of the admitted share that divides the expected time. */
const minAdmittedShare = 0.05;
/** Weight of utilisation above `fullUtilisation`: such work waits for a whole execution or more. */
const overUtilisationFactor = 4;

type KnownUpstream = UpstreamRecord & {
	readonly health: UpstreamHealth;
};

/** Outcome of a request at an upstream. */
export type UpstreamOutcome = {
	readonly load?: UpstreamLoad;
	readonly elapsedMs: number;
	readonly succeeded: boolean;
};

/** Chooses the upstream of a service with the shortest expected time, within the own availability zone while that has capacity. */
export class UpstreamChooser {
	private readonly records = new Map<string, KnownUpstream>();
	/** Choices since the last report, those without a recent load, and the total age of the recent loads. */
	private readonly choices = new Tally();

	constructor(
		private readonly membership: MembershipService,
		private readonly availabilityZone: string,
		private readonly random: RandomGenerator,
	) {}

	/** Chooses an allowed upstream and counts a request in flight to it until `recordOutcome`; undefined if there is none. */
	choose(service: string, isAllowed: (member: Member) => boolean): Member | undefined {
		const candidates = this.membership.upstreams(service).filter(member => isAllowed(member));
		const sameZone = candidates.filter(member => member.availabilityZone === this.availabilityZone);
		const member = sameZone.some(candidate => this.hasFreeCapacity(candidate)) ? this.pickBest(sameZone) : this.pickAcrossZones(candidates, sameZone);
		if (member) {
			const record = this.recordOf(member);
			this.recordChoice(record);
			record.inFlight++;
			record.callsSinceLoad++;
		}

		return member;
	}

	/** Ends a request in flight and records its outcome. */
	recordOutcome(member: Member, {load, elapsedMs, succeeded}: UpstreamOutcome): void {
		const record = this.recordOf(member);
		record.inFlight--;
		record.health.record(succeeded, elapsedMs);
		if (load) {
			record.load = load;
			record.callsSinceLoad = 0;
			record.loadReceivedAtMs = performance.now();
		}
	}

	/** Threshold of a service: the mean over its upstreams, weighted by their limits. */
	thresholdOf(service: string): number {
		let weighted = 0;
		let total = 0;
		for (const member of this.membership.upstreams(service)) {
			const {load, loadReceivedAtMs} = this.recordOf(member);
			if (load && performance.now() - loadReceivedAtMs < loadLifetimeMs) {
				weighted += load.threshold * load.limit;
				total += load.limit;
			}
		}

		return total === 0 ? 0 : weighted / total;
	}

	/** Numbers of choices and of those without a recent load, and the mean age of the recent loads, since the last report. */
	reportChoices(): Readonly<Record<string, number>> {
		const {choices = 0, blindChoices = 0, loadAgeMs = 0} = this.choices.take();
		return {choices, blindChoices, meanLoadAgeMs: Math.round(loadAgeMs / Math.max(1, choices - blindChoices))};
	}

	/** Drops the record of a member that is gone unless requests to it are in flight. */
	evict(nodeId: string): void {
		if (this.records.get(nodeId)?.inFlight === 0) {
			this.records.delete(nodeId);
		}
	}

	private recordChoice({load, loadReceivedAtMs}: KnownUpstream): void {
		const ageMs = performance.now() - loadReceivedAtMs;
		this.choices.add('choices');
		if (load && ageMs < loadLifetimeMs) {
			this.choices.add('loadAgeMs', ageMs);
		} else {
			this.choices.add('blindChoices');
		}
	}

	/** The best upstream of all zones if it is clearly better than the best of the own zone: when all are full, another zone only adds latency. */
	private pickAcrossZones(candidates: readonly Member[], sameZone: readonly Member[]): Member | undefined {
		const best = this.pickBest(candidates);
		const bestInZone = this.pickBest(sameZone);
		if (!best || !bestInZone) {
			return best;
		}

		const typicalMs = this.typicalMs(candidates);
		return this.expectedMs(bestInZone, typicalMs) <= this.expectedMs(best, typicalMs) * zonePreferenceFactor ? bestInZone : best;
	}

	/** The best of several distinct candidates drawn at random by limit; unhealthy ones only if all are unhealthy. */
	private pickBest(candidates: readonly Member[]): Member | undefined {
		const healthy = candidates.filter(member => this.recordOf(member).health.failureRate < unhealthyFailureRate);
		let left = healthy.length > 0 ? healthy : candidates;
		const typicalMs = this.typicalMs(left) * unsampledTimeFraction;
		let best: Member | undefined;
		for (let draw = 0; draw < candidateDraws; draw++) {
			const drawn = drawByWeight(left, member => this.limitOf(member), this.random);
			if (drawn && (!best || this.expectedMs(drawn, typicalMs) < this.expectedMs(best, typicalMs))) {
				best = drawn;
			}

			left = left.filter(member => member !== drawn);
		}

		return best;
	}

	/** Mean answer time over the candidates that have answered. */
	private typicalMs(candidates: readonly Member[]): number {
		let total = 0;
		let known = 0;
		for (const member of candidates) {
			const meanMs = this.recordOf(member).health.lastMeanMs;
			total += meanMs ?? 0;
			known += meanMs === undefined ? 0 : 1;
		}

		return known === 0 ? 1 : total / known;
	}

	private hasFreeCapacity(member: Member): boolean {
		return this.utilisation(member) < fullUtilisation && this.recordOf(member).health.failureRate < crossZoneFailureRate && this.refusedFraction(member) < crossZoneRefusedFraction;
	}

	/** Expected time until an answer, increased for the risk of failure or refusal. */
	private expectedMs(member: Member, typicalMs: number): number {
		const {health} = this.recordOf(member);
		const surplus = Math.max(0, this.utilisation(member) - fullUtilisation);
		const successRate = 1 - health.failureRate;
		// The square root because loads are up to two seconds old: a stronger effect would send all nodes to the same upstream.
		const admittedWeight = Math.sqrt(Math.max(minAdmittedShare, 1 - this.refusedFraction(member)));
		return health.meanMs(typicalMs) * (1 + this.utilisation(member) + (overUtilisationFactor * surplus)) / (successRate * successRate * admittedWeight);
	}

	/** Fraction of the demand for an upstream that the nodes at which root requests enter are to refuse; 0 if unknown. */
	private refusedFraction(member: Member): number {
		return this.recentLoadOf(member)?.threshold ?? 0;
	}

	private recentLoadOf(member: Member): UpstreamLoad | undefined {
		const {load, loadReceivedAtMs} = this.recordOf(member);
		return performance.now() - loadReceivedAtMs < loadLifetimeMs ? load : undefined;
	}

	private utilisation(member: Member): number {
		const {inFlight, callsSinceLoad} = this.recordOf(member);
		const load = this.recentLoadOf(member);
		const work = load ? Math.max(inFlight, load.inFlight + load.queued + callsSinceLoad) : inFlight;
		return work / this.limitOf(member);
	}

	private limitOf(member: Member): number {
		return Math.max(1, this.recordOf(member).load?.limit ?? member.slots);
	}

	private recordOf({nodeId}: Member): KnownUpstream {
		let record = this.records.get(nodeId);
		if (!record) {
			record = {
				inFlight: 0, callsSinceLoad: 0, loadReceivedAtMs: 0, health: new UpstreamHealth(),
			};
			this.records.set(nodeId, record);
		}

		return record;
	}
}
