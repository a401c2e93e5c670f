import {type Clock} from '@sinonjs/fake-timers';
import {type LogService} from '../../../runtime/log/log-service.js';
import {policyKey} from '../../policy/policy-key.js';
import {StoredPolicyService} from '../../policy/stored-policy-service.js';
import {sampleDocument} from '../../policy/test/sample-document.js';
import {StoreLeaseService} from '../store-lease-service.js';
import {CountingMetrics} from './counting-metrics.js';
import {DatagramNetwork} from './datagram-network.js';
import {NetworkedMembership, silentLog, testSettings} from './membership-fixture.js';
import {MemoryPeers} from './memory-peers.js';
import {MemoryStore} from './memory-store.js';
import {StoreView} from './store-view.js';

const zoneCount = 4;
const storeDelayMs = 2;
const noSignal = new AbortController().signal;

type PolicyFleetNode = {
	readonly store: StoreView;
	readonly policy: StoredPolicyService;
	readonly membership: NetworkedMembership;
	readonly lease: StoreLeaseService;
	readonly metrics: CountingMetrics;
};

/** Nodes with real membership and policy services that share a store and a network, all simulated on a paused clock. */
export class PolicyFleet {
	readonly store = new MemoryStore();
	readonly network = new DatagramNetwork();
	readonly nodes: PolicyFleetNode[] = [];
	private version = 0;
	private modRevision = 0;

	constructor(private readonly clock: Clock, private readonly log: LogService = silentLog, private readonly firstSeed = 1) {
		this.store.requestDelayMs = storeDelayMs;
		this.store.resultDelayMs = storeDelayMs;
	}

	/** Starts the nodes one after the other within the given time, and then their backend servers, as many in the same time. */
	async start(count: number, withinMs: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			const node = this.createNode(index);
			this.nodes.push(node);
			void Promise.all([node.membership.start(noSignal), node.policy.start(noSignal)]);
			await this.clock.tickAsync(withinMs / count);
		}

		for (const {membership} of this.nodes) {
			membership.announce({
				service: 'catalogue', port: 1, slots: 10, connections: 20, draining: false,
			});
			await this.clock.tickAsync(withinMs / count);
		}
	}

	/** Writes the next version of the policy to the store, as an operator does; resolves when the store has confirmed it. */
	async changePolicy(): Promise<number> {
		this.version++;
		const value = JSON.stringify({...sampleDocument, version: this.version, recentPatches: []});
		const written = this.store.compareAndSwap(policyKey, this.modRevision, value);
		await this.clock.tickAsync(2 * storeDelayMs);
		const {modRevision} = await written;
		this.modRevision = modRevision;
		return this.version;
	}

	/** Indexes of the nodes at which an earlier version is in force. */
	nodesBehind(): number[] {
		return this.nodes.flatMap(({policy}, index) => policy.version < this.version ? [index] : []);
	}

	dispose(): void {
		for (const {policy, membership, lease} of this.nodes) {
			policy.dispose();
			membership.dispose();
			lease.dispose();
		}

		this.clock.uninstall();
	}

	private createNode(index: number): PolicyFleetNode {
		const settings = testSettings(`node-${index}`, {availabilityZone: `zone-${index % zoneCount}`, leaseTtlMs: 6000, seed: this.firstSeed + index});
		const settingsService = {settings, incarnation: `run-1-${String(index).padStart(4, '0')}`};
		const store = new StoreView(this.store);
		const peers = new MemoryPeers(settings, settingsService.incarnation);
		const metrics = new CountingMetrics();
		const policy = new StoredPolicyService(settingsService, store, peers, this.log);
		const lease = new StoreLeaseService(settingsService, store, silentLog, metrics);
		const membership = new NetworkedMembership(settingsService, store, lease, peers, policy, silentLog, metrics);
		membership.network = this.network;
		return {
			store, policy, membership, lease, metrics,
		};
	}
}
