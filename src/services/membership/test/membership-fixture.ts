import {install, type Clock} from '@sinonjs/fake-timers';
import {type LogService} from '../../../runtime/log/log-service.js';
import {testSettings as peerSettings} from '../../../runtime/peer/test/peer-fixture.js';
import {type NodeSettings} from '../../../runtime/settings/node-settings.js';
import {type DatagramSocket} from '../datagram-socket.js';
import {GossipMembershipService} from '../gossip-membership-service.js';
import {StoreLeaseService} from '../store-lease-service.js';
import {CountingMetrics} from './counting-metrics.js';
import {type DatagramNetwork} from './datagram-network.js';
import {MemoryPeers} from './memory-peers.js';
import {type MemoryStore} from './memory-store.js';
import {VersionedPolicy} from './versioned-policy.js';

export const silentLog: LogService = {
	debug() {/* Discarded. */},
	info() {/* Discarded. */},
	warn() {/* Discarded. */},
	error() {/* Discarded. */},
};

/** Replaces timers and clocks by fake ones, which stand still until the returned clock is advanced. */
export function pauseClock(): Clock {
	return install({now: 1_000_000, toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance']});
}

export function testSettings(nodeId: string, changes: Partial<NodeSettings> = {}): NodeSettings {
	return {
		...peerSettings(nodeId),
		leaseTtlMs: 10_000,
		leaseMarginMs: 1000,
		gossipIntervalMs: 500,
		seed: 7,
		...changes,
	};
}

export class NetworkedMembership extends GossipMembershipService {
	network!: DatagramNetwork;

	protected override async openSocket(): Promise<DatagramSocket> {
		return this.network.open('127.0.0.1');
	}
}

/** Incarnation of a node with real membership and lease services; the store, the network and the other services are simulated. */
export class TestNode {
	readonly policy = new VersionedPolicy();
	readonly metrics = new CountingMetrics();
	readonly lease: StoreLeaseService;
	readonly membership: NetworkedMembership;
	private readonly stop = new AbortController();

	constructor(readonly settings: NodeSettings, readonly incarnation: string, store: MemoryStore, network: DatagramNetwork) {
		const settingsService = {settings, incarnation};
		this.lease = new StoreLeaseService(settingsService, store, silentLog, this.metrics);
		this.membership = new NetworkedMembership(settingsService, store, this.lease, new MemoryPeers(settings, incarnation), this.policy, silentLog, this.metrics);
		this.membership.network = network;
	}

	async start(): Promise<void> {
		await this.membership.start(this.stop.signal);
	}

	/** Aborts the start signal, as a program does when its shutdown starts. */
	abortStart(): void {
		this.stop.abort();
	}

	/** Ends the incarnation without a planned shutdown. */
	kill(): void {
		this.stop.abort();
		this.membership.dispose();
		this.lease.dispose();
	}
}
