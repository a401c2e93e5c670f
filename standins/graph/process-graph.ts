import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {Emitter} from '../../src/base/emitter.js';
import {type ExecutionRecord} from '../backend-server/execution-record.js';
import {ChildProgram} from './child-program.js';
import {type GraphPlan, type NodePlan} from './graph-plan.js';
import {NodeProgram} from './node-program.js';

const storeFile = fileURLToPath(new URL('../store/main.js', import.meta.url));
const settleTimeoutMs = 20_000;
const pollMs = 50;

type StatusMember = {nodeId: string; incarnation: string; service?: string; state: string};
type Status = {self: StatusMember; policyVersion: number; members: StatusMember[]; shards: Array<{service: string}>};

/** A graph of a store, nodes and backend servers, each in its own process, on loopback. */
export class ProcessGraph {
	readonly nodes = new Map<string, NodeProgram>();
	storeUrl = '';
	/** Fired with the node's id when an execution at its backend server starts and again when it has ended. */
	readonly onDidRecord;
	private readonly recordEmitter = new Emitter<{nodeId: string; record: ExecutionRecord}>();
	private readonly store = new ChildProgram('store', [storeFile], line => line.ready === true);

	constructor(readonly plan: GraphPlan) {
		this.onDidRecord = this.recordEmitter.event;
	}

	/** Starts all processes, submits the policy and waits until the nodes have settled. */
	async start(): Promise<void> {
		const {port} = await this.store.start();
		this.storeUrl = `http://127.0.0.1:${Number(port)}`;
		await Promise.all(this.plan.nodes.map(async node => this.startNode(node)));
		await this.submitPolicy();
		await this.whenSettled();
	}

	/** Starts a node with its backend server; also replaces a node that has ended. */
	async startNode(plan: NodePlan): Promise<NodeProgram> {
		const index = this.plan.nodes.indexOf(plan);
		const program = new NodeProgram(plan, this.storeUrl, this.plan.nodeFlags ?? [], this.plan.seed + index + 1, this.plan.nodeFile);
		this.nodes.set(plan.nodeId, program);
		program.onDidRecord(record => {
			this.recordEmitter.fire({nodeId: plan.nodeId, record});
		});
		await program.start();
		await program.startBackend();
		return program;
	}

	node(nodeId: string): NodeProgram {
		const node = this.nodes.get(nodeId);
		if (!node) {
			throw new Error(`the graph has no node ${nodeId}`);
		}

		return node;
	}

	/** Sets faults of the store stand-in, such as `{outage: true}`. */
	async setStoreFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
		await post(`${this.storeUrl}/faults`, faults);
	}

	/** Sets faults of the node's backend server stand-in. */
	async setBackendFaults(nodeId: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
		await post(`${this.node(nodeId).backendServerUrl}/stand-in/faults`, faults);
	}

	/** Makes the node's backend server announce that it drains; its process keeps running. */
	async drainBackend(nodeId: string): Promise<void> {
		await post(`${this.node(nodeId).backendServerUrl}/stand-in/drain`, {});
	}

	async status(nodeId: string, signal?: AbortSignal): Promise<Status> {
		const {body} = await request(`${this.node(nodeId).url}/kumquatline/status`, {signal});
		return await body.json() as Status;
	}

	/** Resolves when every node has the policy, sees all nodes as serving and has the shard table of its service. */
	async whenSettled(): Promise<void> {
		const startedAtMs = performance.now();
		for (;;) {
			const statuses = await Promise.all([...this.nodes.keys()].map(async nodeId => this.status(nodeId)));
			if (statuses.every(status => isSettled(status, this.nodes.size, this.plan.hasShards ?? true))) {
				return;
			}

			if (performance.now() - startedAtMs > settleTimeoutMs) {
				throw new Error(`nodes did not settle in time: ${JSON.stringify(statuses)}`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, pollMs);
			});
		}
	}

	/** Kills all processes of the graph. */
	async dispose(): Promise<void> {
		await Promise.all([...this.nodes.values()].map(async node => node.kill()));
		await this.store.kill();
	}

	private async submitPolicy(): Promise<void> {
		const [node] = this.nodes.values();
		if (node) {
			await post(`${node.url}/kumquatline/policy/init`, this.plan.policy);
		}
	}
}

function isSettled(status: Status, count: number, needsShards: boolean): boolean {
	const serving = status.members.filter(member => member.state === 'serving');
	const hasShards = !needsShards || status.shards.some(({service}) => service === status.self.service);
	return status.policyVersion > 0 && serving.length === count && hasShards;
}

async function post(url: string, body: Readonly<Record<string, unknown>>): Promise<void> {
	const response = await request(url, {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(body)});
	const text = await response.body.text();
	if (response.statusCode >= 300) {
		throw new Error(`${url} answered ${response.statusCode}: ${text}`);
	}
}
