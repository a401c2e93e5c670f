import {type Disposable} from '../../src/base/disposable.js';
import {Kernel} from '../../src/runtime/kernel/kernel.js';
import {LogService} from '../../src/runtime/log/log-service.js';
import {MetricsService} from '../../src/runtime/metrics/metrics-service.js';
import {PeerService} from '../../src/runtime/peer/peer-service.js';
import {FixedSettingsService} from '../../src/runtime/settings/fixed-settings-service.js';
import {type NodeSettings} from '../../src/runtime/settings/node-settings.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {KvStoreService} from '../../src/platform/store/kv-store-service.js';
import {StoreService} from '../../src/runtime/store/store-service.js';
import {policyDigest} from '../../src/services/policy/policy-digest.js';
import {PolicyService} from '../../src/services/policy/policy-service.js';
import {type PolicyEvent} from './policy-event.js';
import {PolicyEventKind} from './policy-event-kind.js';
import {ZonedPeerService} from './zoned-peer-service.js';

/** A class that implements the policy service of a run. */
export type PolicyServiceClass = new (...services: any[]) => PolicyService;

type ProofNodeOptions = {
	readonly nodeId: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly storeUrl: string;
	readonly seed: number;
};

type ProofNodeHost = {
	readonly record: (event: PolicyEvent) => void;
	readonly canReach: (fromZone: string, toZone: string) => boolean;
};

const noop = (): void => undefined;

/** One incarnation of a node with its policy, store and peer services. */
export class ProofNode implements Disposable {
	/** Zones of all nodes in this process, by incarnation. */
	private static readonly zones = new Map<string, string>();

	readonly policy: PolicyService;
	readonly incarnation: string;
	readonly zone: string;
	private readonly kernel: Kernel;
	private readonly peers: ZonedPeerService;
	private isRunning = true;

	constructor(options: ProofNodeOptions, policyClass: PolicyServiceClass, host: ProofNodeHost) {
		this.incarnation = options.incarnation;
		this.zone = options.zone;
		ProofNode.zones.set(options.incarnation, options.zone);
		this.kernel = createKernel(options, policyClass);
		this.peers = this.kernel.get(PeerService) as ZonedPeerService;
		this.peers.canReach = peer => host.canReach(this.zone, ProofNode.zones.get(peer.incarnation) ?? this.zone);
		this.policy = this.kernel.get(PolicyService);
		this.policy.onDidChange(policy => {
			host.record({
				kind: PolicyEventKind.InForce, incarnation: this.incarnation, version: policy.version, digest: policyDigest(policy),
			});
		});
	}

	async start(): Promise<void> {
		await this.peers.listen();
		await this.policy.start(new AbortController().signal);
	}

	receiveGossip(other: ProofNode): void {
		if (this.isRunning && other.isRunning && other.policy.version > 0) {
			this.policy.recordPeerVersion(other.policy.version, other.peers.self);
		}
	}

	dispose(): void {
		this.isRunning = false;
		this.kernel.dispose();
	}
}

function createKernel({nodeId, incarnation, zone, storeUrl, seed}: ProofNodeOptions, policyClass: PolicyServiceClass): Kernel {
	const settings = {
		nodeId,
		address: '127.0.0.1',
		availabilityZone: zone,
		peerPort: 0,
		storeUrls: [storeUrl],
		probeAfterMs: 100,
		abandonAfterMs: 150,
		clockSkewBoundMs: 100,
		seed,
	} as unknown as NodeSettings;
	return new Kernel()
		.registerInstance(SettingsService, new FixedSettingsService(settings, incarnation))
		.registerInstance(LogService, {
			debug: noop, info: noop, warn: noop, error: noop,
		})
		.registerInstance(MetricsService, {
			count: noop, record: noop, snapshot: () => ({counters: {}, histograms: {}}),
		})
		.register(StoreService, KvStoreService)
		.register(PeerService, ZonedPeerService)
		.register(PolicyService, policyClass);
}
