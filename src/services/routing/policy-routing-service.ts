import {randomInt} from 'node:crypto';
import findMyWay from 'find-my-way';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {SettingsService} from '../../platform/settings/settings-service.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {type CallContext} from '../calls/call-context.js';
import {type Member} from '../membership/member.js';
import {MembershipService} from '../membership/membership-service.js';
import {type Operation} from '../policy/operation.js';
import {type Policy} from '../policy/policy.js';
import {PolicyService} from '../policy/policy-service.js';
import {type RoutingService} from './routing-service.js';
import {type UpstreamRecord} from './upstream-record.js';

/** Seeds are 32 bits wide. */
const maxSeed = 2 ** 31;

type Router = ReturnType<typeof buildRouter>;

/** Routes by the policy in force; chooses upstreams by the power of two random choices, own availability zone first. */
export class PolicyRoutingService implements RoutingService {
	private readonly records = new Map<string, UpstreamRecord>();
	private readonly random;
	private router: Router | undefined;
	private routerVersion = 0;

	constructor(
		@SettingsService private readonly settingsService: SettingsService,
		@PolicyService private readonly policyService: PolicyService,
		@MembershipService private readonly membership: MembershipService,
	) {
		this.random = xoroshiro128plus(settingsService.settings.seed || randomInt(maxSeed));
	}

	get loads(): ReadonlyMap<string, UpstreamLoad> {
		const loads = new Map<string, UpstreamLoad>();
		for (const [nodeId, {load}] of this.records) {
			if (load) {
				loads.set(nodeId, load);
			}
		}

		return loads;
	}

	match(method: string, target: string): Operation | undefined {
		const router = this.currentRouter();
		// eslint-disable-next-line unicorn/no-array-callback-reference, unicorn/no-array-method-this-argument -- a router, not an array
		return router.find(method as 'GET', target)?.store as Operation | undefined;
	}

	refuseEarly(_operation: Operation, _context: CallContext): void {
		// Nothing is refused early here.
	}

	choose(service: string, exclude: ReadonlySet<string>): Member | undefined {
		const candidates = this.membership.upstreams(service).filter(member => !exclude.has(member.nodeId));
		const near = candidates.filter(member => member.availabilityZone === this.settingsService.settings.availabilityZone);
		const member = this.chooseOfTwo(near.some(member => this.utilisation(member) < 1) ? near : candidates);
		if (member) {
			const record = this.recordOf(member.nodeId);
			record.inFlight++;
			record.begunSinceHeard++;
		}

		return member;
	}

	noteReply(member: Member, load: UpstreamLoad | undefined): void {
		const record = this.recordOf(member.nodeId);
		record.inFlight--;
		if (load) {
			record.load = load;
			record.begunSinceHeard = 0;
			record.heardAtMs = performance.now();
		}
	}

	private currentRouter(): Router {
		const policy = this.policyService.current;
		if (!this.router || this.routerVersion !== policy.version) {
			this.router = buildRouter(policy);
			this.routerVersion = policy.version;
		}

		return this.router;
	}

	private chooseOfTwo(candidates: readonly Member[]): Member | undefined {
		const first = this.drawByLimit(candidates);
		const second = this.drawByLimit(candidates);
		if (!first || !second) {
			return first;
		}

		return this.utilisation(second) < this.utilisation(first) ? second : first;
	}

	/** Draws a candidate with a chance in proportion to its limit. */
	private drawByLimit(candidates: readonly Member[]): Member | undefined {
		let total = 0;
		for (const member of candidates) {
			total += this.limitOf(member);
		}

		let rest = uniformFloat64(this.random) * total;
		for (const member of candidates) {
			rest -= this.limitOf(member);
			if (rest < 0) {
				return member;
			}
		}

		return candidates.at(-1);
	}

	/** Work at an upstream in relation to its limit. */
	private utilisation(member: Member): number {
		const {load, inFlight, begunSinceHeard} = this.recordOf(member.nodeId);
		const work = load ? Math.max(inFlight, load.inFlight + load.queued + begunSinceHeard) : inFlight;
		return work / this.limitOf(member);
	}

	private limitOf(member: Member): number {
		return Math.max(1, this.recordOf(member.nodeId).load?.limit ?? member.slots);
	}

	private recordOf(nodeId: string): UpstreamRecord {
		let record = this.records.get(nodeId);
		if (!record) {
			record = {inFlight: 0, begunSinceHeard: 0, heardAtMs: 0};
			this.records.set(nodeId, record);
		}

		return record;
	}
}

function buildRouter(policy: Policy) {
	const router = findMyWay();
	for (const operation of policy.operations) {
		router.on(operation.method, operation.path, () => undefined, operation);
	}

	return router;
}
