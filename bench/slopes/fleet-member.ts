import {Kernel} from '../../src/runtime/kernel/kernel.js';
import {LogService} from '../../src/runtime/log/log-service.js';
import {PinoLogService} from '../../src/runtime/log/pino-log-service.js';
import {MetricsService} from '../../src/runtime/metrics/metrics-service.js';
import {StatsdMetricsService} from '../../src/runtime/metrics/statsd-metrics-service.js';
import {FramedPeerService} from '../../src/runtime/peer/framed-peer-service.js';
import {PeerService} from '../../src/runtime/peer/peer-service.js';
import {FixedSettingsService} from '../../src/runtime/settings/fixed-settings-service.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {KvStoreService} from '../../src/platform/store/kv-store-service.js';
import {StoreService} from '../../src/runtime/store/store-service.js';
import {GossipMembershipService} from '../../src/services/membership/gossip-membership-service.js';
import {LeaseService} from '../../src/services/membership/lease-service.js';
import {MemberState} from '../../src/services/membership/member-state.js';
import {MembershipService} from '../../src/services/membership/membership-service.js';
import {StoreLeaseService} from '../../src/services/membership/store-lease-service.js';
import {PolicyService} from '../../src/services/policy/policy-service.js';
import {StoredPolicyService} from '../../src/services/policy/stored-policy-service.js';
import {benchSettings} from './bench-settings.js';
import {type FleetWorkerOptions} from './fleet-worker-options.js';

const announcement = {
	service: 'catalogue', port: 1, slots: 55, connections: 440, draining: false,
};

/** The control plane of a node, with its real services but without calls: lease, registration, gossip and policy. */
export class FleetMember {
	readonly nodeId: string;
	/** When this member first learned that another is no longer serving, or adopted a policy version, as a Unix timestamp in milliseconds. */
	readonly seenAtMs = new Map<string, number>();
	private readonly kernel: Kernel;
	private readonly stop = new AbortController();

	constructor(options: FleetWorkerOptions, index: number) {
		const {prefix, zoneCount, storeUrl, gossipIntervalMs, leaseTtlMs, seed} = options;
		this.nodeId = `${prefix}-${index}`;
		this.kernel = new Kernel()
			.registerInstance(SettingsService, new FixedSettingsService(benchSettings(this.nodeId, {
				availabilityZone: `perth-metro-${index % zoneCount}`,
				storeUrls: [storeUrl],
				gossipIntervalMs,
				leaseTtlMs,
				seed: seed + index,
			})))
			.register(LogService, PinoLogService)
			.register(MetricsService, StatsdMetricsService)
			.register(StoreService, KvStoreService)
			.register(PeerService, FramedPeerService)
			.register(PolicyService, StoredPolicyService)
			.register(LeaseService, StoreLeaseService)
			.register(MembershipService, GossipMembershipService);
	}

	get membership(): MembershipService {
		return this.kernel.get(MembershipService);
	}

	get policy(): PolicyService {
		return this.kernel.get(PolicyService);
	}

	get counters(): Readonly<Record<string, number>> {
		return this.kernel.get(MetricsService).snapshot().counters;
	}

	async start(): Promise<void> {
		await this.kernel.get(PeerService).listen();
		this.membership.onDidChange(member => {
			if (member.state !== MemberState.Serving && !this.seenAtMs.has(member.nodeId)) {
				this.seenAtMs.set(member.nodeId, Date.now());
			}
		});
		this.policy.onDidChange(({version}) => {
			this.seenAtMs.set(`policy ${version}`, Date.now());
		});
		await this.membership.start(this.stop.signal);
		await this.policy.start(this.stop.signal);
		this.membership.announce(announcement);
		this.seenAtMs.clear();
	}

	/** Announces that the backend server is draining; its node stays. */
	drain(): void {
		this.membership.announce({...announcement, draining: true});
	}

	/** Stops immediately, without leaving the membership or deregistering. */
	kill(): void {
		this.stop.abort();
		this.kernel.dispose();
	}
}
