import {Kernel} from '../../../../runtime/kernel/kernel.js';
import {type ServiceId} from '../../../../runtime/kernel/service-id.js';
import {LogService} from '../../../../runtime/log/log-service.js';
import {MetricsService} from '../../../../runtime/metrics/metrics-service.js';
import {PeerService} from '../../../../runtime/peer/peer-service.js';
import {type NodeSettings} from '../../../../runtime/settings/node-settings.js';
import {SettingsService} from '../../../../runtime/settings/settings-service.js';
import {StoreService} from '../../../../runtime/store/store-service.js';
import {NoopMetricsService} from '../../../admission/test/noop-metrics-service.js';
import {CallService} from '../../../calls/call-service.js';
import {GraphCallService} from '../../../calls/graph-call-service.js';
import {UpstreamService} from '../../../calls/upstream-service.js';
import {LeaseService} from '../../../membership/lease-service.js';
import {MembershipService} from '../../../membership/membership-service.js';
import {StoreLeaseService} from '../../../membership/store-lease-service.js';
import {PolicyService} from '../../../policy/policy-service.js';
import {type Policy} from '../../../policy/policy.js';
import {RetryService} from '../../../retries/retry-service.js';
import {OwnershipService} from '../../ownership-service.js';
import {type MemoryStore} from './memory-store.js';
import {MeshUpstreamService, type MeshBackends} from './mesh-backends.js';
import {type MeshConditions} from './mesh-conditions.js';
import {MeshMembershipService} from './mesh-membership-service.js';
import {MeshPeerService, type MeshPeers} from './mesh-peer-service.js';
import {MeshProcess} from './mesh-process.js';
import {MeshStoreService} from './mesh-store-service.js';

type Constructor<T> = new (...services: any[]) => T;

/** What all nodes of a mesh share, and the classes under test. */
export type MeshParts = {
	readonly store: MemoryStore;
	readonly conditions: MeshConditions;
	readonly peers: MeshPeers;
	readonly backends: MeshBackends;
	readonly policy: Policy;
	readonly ownership: Constructor<OwnershipService>;
	readonly retries: Constructor<RetryService>;
	readonly service: string;
};

class SilentLogService implements LogService {
	debug(): void {
		// Log lines are discarded.
	}

	info(): void {
		// Log lines are discarded.
	}

	warn(): void {
		// Log lines are discarded.
	}

	error(): void {
		// Log lines are discarded.
	}
}

const settings: NodeSettings = {
	nodeId: '',
	address: '127.0.0.1',
	availabilityZone: 'north',
	region: 'default',
	callerPort: 0,
	backendPort: 0,
	peerPort: 0,
	gossipPort: 0,
	storeUrls: [],
	leaseTtlMs: 3000,
	leaseMarginMs: 500,
	clockSkewBoundMs: 50,
	shutdownTimeoutMs: 5000,
	probeAfterMs: 500,
	abandonAfterMs: 500,
	gossipIntervalMs: 500,
	seedAddresses: [],
	logLevel: 'error',
	statsdAddress: '',
	seed: 1,
};

/** One incarnation of a node: the real ownership, retry and lease services with an in-memory store and in-memory peers. */
export class MeshNode {
	readonly process: MeshProcess;
	readonly membership: MeshMembershipService;
	private readonly kernel = new Kernel();
	private readonly lifetime = new AbortController();

	constructor(parts: MeshParts, readonly nodeId: string, incarnation: string) {
		const {store, conditions, peers, backends, policy, service} = parts;
		this.process = new MeshProcess(nodeId, incarnation);
		const storeService = new MeshStoreService(store, conditions, this.process);
		const peerService = new MeshPeerService(peers, conditions, this.process);
		this.kernel
			.registerInstance<SettingsService>(SettingsService, {settings: {...settings, nodeId}, incarnation})
			.registerInstance<LogService>(LogService, new SilentLogService())
			.registerInstance<MetricsService>(MetricsService, new NoopMetricsService())
			.registerInstance<StoreService>(StoreService, storeService)
			.registerInstance<PeerService>(PeerService, peerService)
			.registerInstance<PolicyService>(PolicyService, {current: policy, version: 1} as PolicyService)
			.registerInstance<UpstreamService>(UpstreamService, new MeshUpstreamService(backends, this.process))
			.register(LeaseService, StoreLeaseService)
			.register(OwnershipService, parts.ownership)
			.register(RetryService, parts.retries)
			.register(CallService, GraphCallService);
		this.membership = new MeshMembershipService(service, peerService, storeService, this.get(LeaseService));
		this.kernel.registerInstance<MembershipService>(MembershipService, this.membership);
	}

	get<T>(id: ServiceId<T>): T {
		return this.kernel.get(id);
	}

	async start(): Promise<void> {
		const {signal} = this.lifetime;
		await this.get(PeerService).listen();
		await this.membership.start(signal);
		await this.get(OwnershipService).start(signal);
		this.get(RetryService);
	}

	kill(): void {
		this.process.kill();
		this.lifetime.abort();
		this.kernel.dispose();
	}
}
