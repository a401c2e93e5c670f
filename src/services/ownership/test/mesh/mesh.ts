import {MemberState} from '../../../membership/member-state.js';
import {policyDocument} from '../../../policy/policy-document.js';
import {type Policy} from '../../../policy/policy.js';
import {GrantedRetryService} from '../../../retries/granted-retry-service.js';
import {ShardedOwnershipService} from '../../sharded-ownership-service.js';
import {MemoryStore} from './memory-store.js';
import {MeshBackends} from './mesh-backends.js';
import {MeshConditions} from './mesh-conditions.js';
import {MeshNode, type MeshParts} from './mesh-node.js';
import {type MeshPeers} from './mesh-peer-service.js';

const gossipMs = 200;
const service = 'ledger';

const policy: Policy = policyDocument.parse({
	version: 1,
	services: [{name: service, shardCount: 8}],
	operations: [],
	callers: [{name: 'clerk', patienceMs: 2000, retryTotal: 3}],
	retryHorizonMs: 60_000,
	retryShare: 1,
});

/** Parts of a mesh that a test replaces. */
export type MeshOptions = Partial<MeshParts>;

/** Nodes of one service in one process, connected by an in-memory store and network. */
export class Mesh {
	readonly parts: MeshParts;
	readonly nodes: MeshNode[] = [];
	private incarnationCount = 0;

	constructor(seed: number, replaced: MeshOptions = {}) {
		const conditions = new MeshConditions(seed);
		const peers: MeshPeers = new Map();
		this.parts = {
			store: new MemoryStore(),
			conditions,
			peers,
			backends: new MeshBackends(conditions),
			policy,
			ownership: ShardedOwnershipService,
			retries: GrantedRetryService,
			service,
			...replaced,
		};
	}

	async start(count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			await this.add(`node-${index}`);
		}
	}

	/** Starts a new incarnation of a node and informs all members about it. */
	async add(nodeId: string): Promise<MeshNode> {
		const node = new MeshNode(this.parts, nodeId, `run-${++this.incarnationCount}`);
		const previousIndex = this.nodes.findIndex(other => other.nodeId === nodeId);
		this.nodes.splice(previousIndex === -1 ? this.nodes.length : previousIndex, previousIndex === -1 ? 0 : 1, node);
		for (const other of this.nodes) {
			node.membership.applyUpdate(other.membership.record(other.process.isKilled ? MemberState.Dead : other.membership.self.state));
			other.membership.applyUpdate(node.membership.record(MemberState.Serving));
		}

		await node.start();
		return node;
	}

	/** Ends an incarnation without notice; the other nodes learn of it after the gossip delay. */
	async kill(node: MeshNode): Promise<void> {
		node.kill();
		await this.parts.conditions.pause(gossipMs);
		this.gossip(node, MemberState.Dead);
	}

	/** Informs all other nodes about a node's state. */
	gossip(node: MeshNode, state: MemberState): void {
		for (const other of this.nodes) {
			if (other !== node && this.nodes.includes(node)) {
				other.membership.applyUpdate(node.membership.record(state));
			}
		}
	}

	dispose(): void {
		for (const node of this.nodes) {
			node.kill();
		}
	}
}
