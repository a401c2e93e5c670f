import {createRandom} from '../../src/base/create-random.js';
import {Emitter} from '../../src/base/emitter.js';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {type HeaderNames} from '../../src/runtime/http/header-names.js';
import {type LogService} from '../../src/runtime/log/log-service.js';
import {type MetricsService} from '../../src/runtime/metrics/metrics-service.js';
import {testSettings} from '../../src/runtime/peer/test/peer-fixture.js';
import {type ProcessorService} from '../../src/runtime/processor/processor-service.js';
import {FixedSettingsService} from '../../src/runtime/settings/fixed-settings-service.js';
import {type RelaySettings} from '../../src/runtime/settings/relay-settings.js';
import {type RelaySettingsService} from '../../src/runtime/settings/relay-settings-service.js';
import {AimdLimitService} from '../../src/services/admission/aimd-limit-service.js';
import {type InstanceService} from '../../src/services/backend/instance-service.js';
import {type Member} from '../../src/services/membership/member.js';
import {MemberState} from '../../src/services/membership/member-state.js';
import {type MembershipService} from '../../src/services/membership/membership-service.js';
import {LearnedCallGraphService} from '../../src/services/relay/learned-call-graph-service.js';
import {MeshRelayService} from '../../src/services/relay/mesh-relay-service.js';
import {RelayExecutor} from '../../src/services/relay/relay-executor.js';
import {RunningRequestSet} from '../../src/services/relay/running-request-set.js';
import {ModelBackend} from './model-backend.js';
import {ModelPeers} from './model-peers.js';
import {type ModelRoute} from './model-route.js';

const headerNames: HeaderNames = {
	requestId: 'id', deadlineMs: 'deadline', signature: 'signature', expectedInstance: 'expected', notRun: 'not-run', requestLimit: 'request-limit', leaving: 'leaving', caller: 'caller',
};
const noopLog: LogService = {
	debug() {/* Discarded. */}, info() {/* Discarded. */}, warn() {/* Discarded. */}, error() {/* Discarded. */},
};
const noopMetrics = {count() {/* Discarded. */}, record() {/* Discarded. */}} as unknown as MetricsService;
const okStatus = 200;
const processorSampleIntervalMs = 100;

/** What all nodes of a model have in common. */
export type ModelEnvironment = {
	readonly routes: ReadonlyMap<string, ModelRoute>;
	readonly members: Map<string, Member>;
	readonly peers: Map<string, ModelPeers>;
	readonly onDidChange: Emitter<Member>;
	/** Processor time that a node needs for each message. */
	readonly messageMs: number;
	readonly seed: number;
};

type NodeOptions = {
	readonly name: string;
	readonly zone: string;
	readonly service: string;
	readonly slots: number;
	readonly speed: number;
};

/** Outcome of a request. */
export type ModelOutcome = {
	readonly served: boolean;
	/** Delay before a retry, if the request was not executed. */
	readonly retryAfterMs?: number;
};

/** A node with the real choice of upstream, early refusal, queue, limits and retries; its connections, its processor and its backend server are modelled. */
export class ModelNode implements ProcessorService {
	readonly backend: ModelBackend;
	private readonly relay: MeshRelayService;
	private readonly running = new RunningRequestSet();
	private processorFreeAtMs = 0;
	private processorUsedMs = 0;
	private processorSample = {atMs: 0, usedMs: 0, utilisation: 0};

	constructor(private readonly options: NodeOptions, private readonly environment: ModelEnvironment) {
		const {name, zone, service, slots, speed} = options;
		const {routes, members, peers, seed} = environment;
		const random = createRandom(seed, `${name}/backend`);
		this.backend = new ModelBackend(routes, {
			slots, speed, random, call: async (route, id, monotonicDeadlineMs, signal) => {
				const {served} = await this.send(route, id, monotonicDeadlineMs - performance.now(), signal);
				return served;
			},
		});
		const known: Partial<Member> = {
			...address(name), availabilityZone: zone, state: MemberState.Serving, service, slots,
		};
		const self = known as Member;
		members.set(name, self);
		const ownPeers = new ModelPeers(self, peers, async () => this.useProcessor());
		peers.set(name, ownPeers);
		this.relay = this.createRelay(ownPeers);
	}

	get utilisation(): number {
		const nowMs = performance.now();
		const {atMs, usedMs} = this.processorSample;
		if (nowMs - atMs >= processorSampleIntervalMs) {
			const waitingMs = Math.max(0, this.processorFreeAtMs - nowMs);
			const used = this.processorUsedMs - waitingMs;
			this.processorSample = {atMs: nowMs, usedMs: used, utilisation: Math.min(1, (used - usedMs) / (nowMs - atMs))};
		}

		return this.processorSample.utilisation;
	}

	reportLoad(): unknown {
		return this.relay.reportLoad();
	}

	/** Handles a request of a caller or of the node's own backend server. */
	async send(routeName: string, requestId: string, patienceMs: number, signal: AbortSignal, hasWaited = false): Promise<ModelOutcome> {
		const {name, service, timeoutMs, priority, idempotent} = this.environment.routes.get(routeName)!;
		const monotonicDeadlineMs = performance.now() + Math.min(patienceMs, timeoutMs);
		await this.useProcessor();
		try {
			const {status} = await this.relay.relay({
				matched: {
					name, host: 'model', prefix: '/', idempotent, timeoutMs, objectiveMs: timeoutMs, priority, maxUpstreams: 2, targets: [{service, weight: 1}],
				},
				requestId,
				method: 'GET',
				target: routeName,
				headers: [],
				hasWaited,
				parentPriority: this.running.parentPriority(requestId),
				monotonicDeadlineMs,
			}, signal);
			return {served: status === okStatus};
		} catch (error) {
			return {served: false, retryAfterMs: error instanceof KumquatlineError && error.started === false ? error.retryAfterMs : undefined};
		}
	}

	/** Removes the backend server permanently: the node's member becomes left. */
	leave(): void {
		const {members, onDidChange} = this.environment;
		const left = {...members.get(this.options.name)!, state: MemberState.Left};
		members.set(this.options.name, left);
		onDidChange.fire(left);
	}

	private createRelay(peers: ModelPeers): MeshRelayService {
		const {name, zone, service, slots} = this.options;
		const settings = new FixedSettingsService({...testSettings(name), availabilityZone: zone, seed: this.environment.seed});
		const callGraph = new LearnedCallGraphService();
		const limit = new AimdLimitService();
		const instances: Partial<InstanceService> = {
			current: {
				instanceId: name, bootedAtMs: 1, sequence: 1, service, slots, draining: false, coldRemainingMs: 0,
			},
		};
		const executor = new RelayExecutor(peers, instances as InstanceService, limit, callGraph, this.backend, headerNames, noopMetrics, noopLog, this.running, this);
		executor.applyInstance(instances.current);
		const relay: Partial<RelaySettings> = {retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 48};
		const relaySettings: RelaySettingsService = {relay: relay as RelaySettings, onDidChange: new Emitter<RelaySettings>().event};
		return new MeshRelayService(peers, this.createMembership(), relaySettings, settings, callGraph, this.running, noopMetrics, noopLog);
	}

	private createMembership(): MembershipService {
		const {members, onDidChange} = this.environment;
		return {
			get members() {
				return [...members.values()];
			},
			onDidChange: onDidChange.event,
			upstreams: (service: string) => [...members.values()].filter(member => member.state === MemberState.Serving && member.service === service),
		} as unknown as MembershipService;
	}

	/** Waits for the node's processor and uses it for a message. */
	private async useProcessor(): Promise<void> {
		const {messageMs} = this.environment;
		if (messageMs === 0) {
			return;
		}

		const nowMs = performance.now();
		this.processorFreeAtMs = Math.max(nowMs, this.processorFreeAtMs) + messageMs;
		this.processorUsedMs += messageMs;
		await new Promise<void>(resolve => {
			setTimeout(resolve, this.processorFreeAtMs - nowMs);
		});
	}
}

function address(nodeId: string) {
	return {
		nodeId, incarnation: nodeId, address: nodeId, peerPort: 1,
	};
}
