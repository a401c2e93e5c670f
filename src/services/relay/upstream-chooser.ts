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
const fullShare = 0.85;
/** Failure rate from which upstreams of other zones are considered. */
const failingShare = 0.3;
/** Fraction of its work refused by an upstream from which other zones are considered: its node may be overloaded while it has free slots. */
const refusingShare = 0.1;
/** Failure rate from which an upstream is skipped while another is healthy. */
const unsoundShare = 0.5;
/** Fraction of the typical answer time that is expected of an upstream without recent samples: low enough that it is tried, high enough that it is not flooded. */
const newcomerShare = 0.5;
/** Number of candidates compared: services have few upstreams, with very different speeds. */
const draws = 3;
/** Factor by which the expected time in the own zone may exceed that in another zone: traffic between zones is expensive. */
const zoneAdvantage = 1.4;
/** Lower bound of the admitted share that divides the expected time. */
const leastAdmittedShare = 0.05;
/** Weight of utilisation above `fullUtilisation`: such work waits for a whole execution or more. */
const overfullFactor = 4;

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
		const near = candidates.filter(member => member.availabilityZone === this.availabilityZone);
		const member = near.some(candidate => this.hasRoom(candidate)) ? this.pick(near) : this.pickAnywhere(candidates, near);
		if (member) {
			const record = this.recordOf(member);
			this.noteChoice(record);
			record.inFlight++;
			record.callsSinceLoad++;
		}

		return member;
	}

	/** Ends a request in flight and records its outcome. */
	recordOutcome(member: Member, {load, elapsedMs, succeeded}: UpstreamOutcome): void {
		const record = this.recordOf(member);
		record.inFlight--;
		record.health.note(succeeded, elapsedMs);
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
			const {load, loadReceivedAtMs: heardAtMs} = this.recordOf(member);
			if (load && performance.now() - heardAtMs < loadLifetimeMs) {
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
	forget(nodeId: string): void {
		if (this.records.get(nodeId)?.inFlight === 0) {
			this.records.delete(nodeId);
		}
	}

	private noteChoice({load, loadReceivedAtMs: heardAtMs}: KnownUpstream): void {
		const ageMs = performance.now() - heardAtMs;
		this.choices.add('choices');
		if (load && ageMs < loadLifetimeMs) {
			this.choices.add('loadAgeMs', ageMs);
		} else {
			this.choices.add('blindChoices');
		}
	}

	/** The best upstream of all zones if it is clearly better than the best of the own zone: when all are full, another zone only adds latency. */
	private pickAnywhere(candidates: readonly Member[], near: readonly Member[]): Member | undefined {
		const best = this.pick(candidates);
		const nearest = this.pick(near);
		if (!best || !nearest) {
			return best;
		}

		const usualMs = this.usualMs(candidates);
		return this.expectedMs(nearest, usualMs) <= this.expectedMs(best, usualMs) * zoneAdvantage ? nearest : best;
	}

	/** The best of several distinct candidates drawn at random by limit; unhealthy ones only if all are unhealthy. */
	private pick(candidates: readonly Member[]): Member | undefined {
		const sound = candidates.filter(member => this.recordOf(member).health.failureShare < unsoundShare);
		let left = sound.length > 0 ? sound : candidates;
		const usualMs = this.usualMs(left) * newcomerShare;
		let best: Member | undefined;
		for (let draw = 0; draw < draws; draw++) {
			const drawn = drawByWeight(left, member => this.limitOf(member), this.random);
			if (drawn && (!best || this.expectedMs(drawn, usualMs) < this.expectedMs(best, usualMs))) {
				best = drawn;
			}

			left = left.filter(member => member !== drawn);
		}

		return best;
	}

	/** Mean answer time over the candidates that have answered. */
	private usualMs(candidates: readonly Member[]): number {
		let total = 0;
		let known = 0;
		for (const member of candidates) {
			const meanMs = this.recordOf(member).health.lastMeanMs;
			total += meanMs ?? 0;
			known += meanMs === undefined ? 0 : 1;
		}

		return known === 0 ? 1 : total / known;
	}

	private hasRoom(member: Member): boolean {
		return this.utilisation(member) < fullShare && this.recordOf(member).health.failureShare < failingShare && this.refusedShare(member) < refusingShare;
	}

	/** Expected time until an answer, increased for the risk of failure or refusal. */
	private expectedMs(member: Member, usualMs: number): number {
		const {health} = this.recordOf(member);
		const surplus = Math.max(0, this.utilisation(member) - fullShare);
		const successShare = 1 - health.failureShare;
		// The square root because loads are up to two seconds old: a stronger effect would send all nodes to the same upstream.
		const admittedPull = Math.sqrt(Math.max(leastAdmittedShare, 1 - this.refusedShare(member)));
		return health.meanMs(usualMs) * (1 + this.utilisation(member) + (overfullFactor * surplus)) / (successShare * successShare * admittedPull);
	}

	/** Fraction of its work that an upstream refuses. */
	private refusedShare(member: Member): number {
		return this.freshLoadOf(member)?.threshold ?? 0;
	}

	private freshLoadOf(member: Member): UpstreamLoad | undefined {
		const {load, loadReceivedAtMs: heardAtMs} = this.recordOf(member);
		return performance.now() - heardAtMs < loadLifetimeMs ? load : undefined;
	}

	private utilisation(member: Member): number {
		const {inFlight, callsSinceLoad: begunSinceHeard} = this.recordOf(member);
		const load = this.freshLoadOf(member);
		const work = load ? Math.max(inFlight, load.inFlight + load.queued + begunSinceHeard) : inFlight;
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
