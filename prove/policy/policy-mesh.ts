import {type Disposable} from '../../src/base/disposable.js';
import {StoreStandIn} from '../../standins/store/store-stand-in.js';
import {StoreState} from '../../standins/store/store-state.js';
import {type PolicyEvent} from './policy-event.js';
import {ProofNode, type PolicyServiceClass} from './proof-node.js';

const zones = ['a', 'b'] as const;
const nodesPerZone = 3;
const gossipIntervalMs = 20;

/** Nodes in two availability zones that gossip their policy versions; each zone reaches the shared store through its own endpoint. */
export class PolicyMesh implements Disposable {
	readonly events: PolicyEvent[] = [];
	readonly nodes: ProofNode[] = [];
	readonly state = new StoreState();
	readonly stores = zones.map(() => new StoreStandIn(this.state));
	isPartitioned = false;
	private gossipTimer: NodeJS.Timeout | undefined;
	private gossipRound = 0;
	private incarnationCount = 0;

	constructor(private readonly seed: number, private readonly policyClass: PolicyServiceClass) {}

	async start(): Promise<void> {
		for (const store of this.stores) {
			await store.listen();
		}

		for (let index = 0; index < zones.length * nodesPerZone; index++) {
			this.nodes.push(await this.startNode(index));
		}

		this.gossipTimer = setInterval(() => {
			this.gossip();
		}, gossipIntervalMs);
	}

	/** Kills a node and starts a new incarnation of it. */
	async restart(index: number): Promise<void> {
		this.nodes[index].dispose();
		this.nodes[index] = await this.startNode(index);
	}

	dispose(): void {
		clearInterval(this.gossipTimer);
		for (const node of this.nodes) {
			node.dispose();
		}

		for (const store of this.stores) {
			store.dispose();
		}
	}

	private async startNode(index: number): Promise<ProofNode> {
		const zone = Math.floor(index / nodesPerZone);
		this.incarnationCount++;
		const node = new ProofNode({
			nodeId: `node-${index}`,
			incarnation: `node-${index}-run-${this.incarnationCount}`,
			zone: zones[zone],
			storeUrl: this.stores[zone].url,
			seed: (this.seed * 100) + this.incarnationCount,
		}, this.policyClass, {
			record: event => {
				this.events.push(event);
			},
			canReach: (from, to) => from === to || !this.isPartitioned,
		});
		await node.start();
		return node;
	}

	/** Sends the version of each node to one other node, a different one in each round. */
	private gossip(): void {
		this.gossipRound++;
		for (const [index, node] of this.nodes.entries()) {
			const offset = 1 + (this.gossipRound % (this.nodes.length - 1));
			const other = this.nodes[(index + offset) % this.nodes.length];
			if (node.zone === other.zone || !this.isPartitioned) {
				other.receiveGossip(node);
			}
		}
	}
}
