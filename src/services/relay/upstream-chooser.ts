import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {drawByWeight} from '../../base/draw-by-weight.js';
import {Tally} from '../../base/tally.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {type Member} from '../membership/member.js';
import {type MembershipService} from '../membership/membership-service.js';
import {type UpstreamRecord} from '../routing/upstream-record.js';
import {UpstreamHealth} from './upstream-health.js';

/** Time after which a reported load counts no longer. */
const loadLifetimeMs = 2000;
/** Share of its limit above which an upstream's work begins to wait, and other zones are worth their way. */
const fullShare = 0.85;
/** Share of failures above which an upstream of another zone is worth the way. */
const failingShare = 0.3;
/** Share of its work that an upstream asks to be refused from which on other zones are worth the detour: its node may be busy while it has free slots. */
const refusingShare = 0.1;
/** Share of failures from which on an upstream is passed over while another is sound. */
const unsoundShare = 0.5;
/** Share of the usual answer time that is expected of an upstream without news: low enough that it is tried, high enough that it isn't flooded. */
const newcomerShare = 0.5;
/** Candidates that are compared: services have few upstreams, of very different speeds. */
const draws = 3;
/** How much longer an upstream of the own zone may be expected to take than one of another: traffic between zones is expensive. */
const zoneAdvantage = 1.4;
/** Least share by which the expected time is divided. */
const leastAdmittedShare = 0.05;
/** How strongly work beyond the limit counts: it waits for a whole run or more. */
const overfullFactor = 4;

type KnownUpstream = UpstreamRecord & {
	readonly health: UpstreamHealth;
};

/** How a request ended at an upstream. */
export type UpstreamOutcome = {
	readonly load?: UpstreamLoad;
	readonly elapsedMs: number;
	readonly succeeded: boolean;
};

/** Chooses the upstream of a service with the least expected time, in the own availability zone while that has room. */
export class UpstreamChooser {
	private readonly records = new Map<string, KnownUpstream>();
	/** Choices since the last report, those without a load that still counts, and the ages of all loads that counted. */
	private readonly choices = new Tally();

	constructor(
		private readonly membership: MembershipService,
		private readonly availabilityZone: string,
		private readonly random: RandomGenerator,
	) {}

	/** Chooses an upstream among those allowed and counts a request in flight to it until `recordOutcome`; undefined when there is none. */
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

	/** Ends a request in flight. */
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

	/** Refusal threshold of a service: the mean of its upstreams', weighted by their limits. */
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

	/** How many choices were made, how many of them without a recent load, and the mean age of the loads behind the others. */
	reportChoices(): Readonly<Record<string, number>> {
		const {choices = 0, blindChoices = 0, loadAgeMs = 0} = this.choices.take();
		return {choices, blindChoices, meanLoadAgeMs: Math.round(loadAgeMs / Math.max(1, choices - blindChoices))};
	}

	/** Drops what is known of members that are gone. */
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

	/** The best of all zones if it is clearly better than the best of the own: when all are full the detour only adds latency. */
	private pickAnywhere(candidates: readonly Member[], near: readonly Member[]): Member | undefined {
		const best = this.pick(candidates);
		const nearest = this.pick(near);
		if (!best || !nearest) {
			return best;
		}

		const usualMs = this.usualMs(candidates);
		return this.expectedMs(nearest, usualMs) <= this.expectedMs(best, usualMs) * zoneAdvantage ? nearest : best;
	}

	/** The best of some different candidates drawn by limit; those that mostly fail only where all do. */
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

	/** Mean answer time of the candidates that have answered. */
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

	/** Time until an answer, with what failing costs. */
	private expectedMs(member: Member, usualMs: number): number {
		const {health} = this.recordOf(member);
		const surplus = Math.max(0, this.utilisation(member) - fullShare);
		const successShare = 1 - health.failureShare;
		// Its root, as loads are up to two seconds old: a stronger pull would send everyone to the same upstream.
		const admittedPull = Math.sqrt(Math.max(leastAdmittedShare, 1 - this.refusedShare(member)));
		return health.meanMs(usualMs) * (1 + this.utilisation(member) + (overfullFactor * surplus)) / (successShare * successShare * admittedPull);
	}

	/** Share of the work for it that an upstream asks to be refused. */
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
