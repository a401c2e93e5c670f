import findMyWay from 'find-my-way';
import {createRandom} from '../../base/create-random.js';
import {drawByWeight} from '../../base/draw-by-weight.js';
import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {passesThreshold} from '../admission/passes-threshold.js';
import {type ForwardedThreshold} from '../admission/forwarded-threshold.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {type CallContext} from '../calls/call-context.js';
import {type Member} from '../membership/member.js';
import {MemberState} from '../membership/member-state.js';
import {MembershipService} from '../membership/membership-service.js';
import {type Operation} from '../policy/operation.js';
import {type Policy} from '../policy/policy.js';
import {PolicyService} from '../policy/policy-service.js';
import {type RoutingService} from './routing-service.js';
import {ThresholdCache} from './threshold-cache.js';
import {type UpstreamRecord} from './upstream-record.js';

/** Age from which on the recorded load of an upstream is ignored. */
const loadLifetimeMs = 2000;
/** Time after which a refused caller should retry. */
const retryAfterMs = 1000;

type Router = ReturnType<typeof buildRouter>;

/** Routes by the policy in force; prefers upstreams in the node's own availability zone, and chooses among them by the power of two random choices. */
export class PolicyRoutingService implements RoutingService, Disposable {
	private readonly records = new Map<string, UpstreamRecord>();
	private readonly thresholds = new ThresholdCache();
	private readonly subscription: Disposable;
	private readonly random;
	private router: Router | undefined;
	private routerVersion = 0;

	constructor(
		@SettingsService private readonly settingsService: SettingsService,
		@PolicyService private readonly policyService: PolicyService,
		@MembershipService private readonly membership: MembershipService,
	) {
		this.subscription = membership.onDidChange(member => {
			this.removeRecord(member);
		});
		this.random = createRandom(settingsService.settings.seed, `${settingsService.settings.nodeId}/routing`);
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

	get heard(): readonly ForwardedThreshold[] {
		return this.thresholds.heard;
	}

	match(method: string, target: string): Operation | undefined {
		const router = this.currentRouter();
		// eslint-disable-next-line unicorn/no-array-callback-reference, unicorn/no-array-method-this-argument -- a router, not an array
		return router.find(method as 'GET', target)?.store as Operation | undefined;
	}

	refuseEarly({service, calls}: Operation, context: CallContext): void {
		for (const name of [service, ...calls]) {
			if (!passesThreshold(this.thresholds.thresholdOf(name), context)) {
				throw new KumquatlineError(ErrorKind.Overloaded, `service ${name} currently refuses requests of this importance`, {
					execution: Execution.NotRun, started: false, retryAfterMs,
				});
			}
		}
	}

	choose(service: string, exclude: ReadonlySet<string>): Member | undefined {
		const candidates = this.membership.upstreams(service).filter(member => !exclude.has(member.nodeId));
		const sameZone = candidates.filter(member => member.availabilityZone === this.settingsService.settings.availabilityZone);
		const member = this.pick(sameZone.some(member => this.utilisation(member) < 1) ? sameZone : candidates);
		if (member) {
			const record = this.recordOf(member.nodeId);
			record.inFlight++;
			record.callsSinceLoad++;
		}

		return member;
	}

	recordReply(member: Member, load: UpstreamLoad | undefined): void {
		const record = this.recordOf(member.nodeId);
		record.inFlight--;
		if (load) {
			record.load = load;
			record.callsSinceLoad = 0;
			record.loadReceivedAtMs = performance.now();
			this.recordThresholds(member, load);
		}
	}

	dispose(): void {
		this.subscription.dispose();
	}

	/** Returns the less loaded of two different candidates, drawn with their concurrency limits as weights (the power of two choices). */
	protected pick(candidates: readonly Member[]): Member | undefined {
		const first = this.draw(candidates);
		const second = this.draw(candidates.filter(member => member !== first));
		if (!first || !second) {
			return first;
		}

		return this.utilisation(second) < this.utilisation(first) ? second : first;
	}

	/** Records the thresholds in a reply; that of the upstream's service is the mean over its upstreams, weighted by their concurrency limits. */
	private recordThresholds({service}: Member, {heard = []}: UpstreamLoad): void {
		for (const threshold of heard) {
			this.thresholds.record(threshold);
		}

		if (service === undefined) {
			return;
		}

		let weighted = 0;
		let total = 0;
		for (const member of this.membership.upstreams(service)) {
			const {load, loadReceivedAtMs} = this.recordOf(member.nodeId);
			if (load && performance.now() - loadReceivedAtMs < loadLifetimeMs) {
				weighted += load.threshold * load.limit;
				total += load.limit;
			}
		}

		if (total > 0) {
			this.thresholds.record({service, threshold: weighted / total, ageMs: 0});
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

	private draw(candidates: readonly Member[]): Member | undefined {
		return drawByWeight(candidates, member => this.limitOf(member), this.random);
	}

	/** Calls at an upstream as a fraction of its concurrency limit. */
	private utilisation(member: Member): number {
		const {load, inFlight, callsSinceLoad, loadReceivedAtMs} = this.recordOf(member.nodeId);
		const isFresh = performance.now() - loadReceivedAtMs < loadLifetimeMs;
		const pendingCalls = load && isFresh ? Math.max(inFlight, load.inFlight + load.queued + callsSinceLoad) : inFlight;
		return pendingCalls / this.limitOf(member);
	}

	private limitOf(member: Member): number {
		return Math.max(1, this.recordOf(member.nodeId).load?.limit ?? member.slots);
	}

	/** Removes the record of a member that is gone, unless it has calls in flight. */
	private removeRecord({nodeId, state}: Member): void {
		const isGone = state === MemberState.Dead || state === MemberState.Left;
		if (isGone && this.records.get(nodeId)?.inFlight === 0) {
			this.records.delete(nodeId);
		}
	}

	private recordOf(nodeId: string): UpstreamRecord {
		let record = this.records.get(nodeId);
		if (!record) {
			record = {inFlight: 0, callsSinceLoad: 0, loadReceivedAtMs: 0};
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
