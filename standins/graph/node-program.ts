import {fileURLToPath} from 'node:url';
import {Emitter} from '../../src/base/emitter.js';
import {type ExecutionRecord} from '../backend-server/execution-record.js';
import {backendArguments} from './backend-arguments.js';
import {ChildProgram} from './child-program.js';
import {type NodePlan} from './graph-plan.js';

const nodeFile = fileURLToPath(new URL('../../../kumquatline-node', import.meta.url));

type Ports = {
	readonly callerPort: number;
	readonly backendPort: number;
	readonly peerPort: number;
	readonly gossipPort: number;
	readonly incarnation: string;
};

/** A node process and the process of its backend server. */
export class NodeProgram {
	ports!: Ports;
	/** Port on which the backend server stand-in receives requests and faults. */
	backendServerPort!: number;
	readonly node: ChildProgram;
	/** Fired when an execution at the backend server starts and again when it has ended. */
	readonly onDidRecord;
	private readonly recordEmitter = new Emitter<ExecutionRecord>();
	private backend?: ChildProgram;

	constructor(readonly plan: NodePlan, storeUrl: string, flags: readonly string[], private readonly seed: number, programFile = nodeFile) {
		this.onDidRecord = this.recordEmitter.event;
		const {nodeId, availabilityZone, region = 'default'} = plan;
		const args = [
			'--node-id',
			nodeId,
			'--availability-zone',
			availabilityZone,
			'--region',
			region,
			'--store-urls',
			storeUrl,
			'--caller-port',
			'0',
			'--backend-port',
			'0',
			'--peer-port',
			'0',
			'--gossip-port',
			'0',
			'--seed',
			String(seed),
			...flags,
		];
		this.node = new ChildProgram(nodeId, [programFile, ...args], line => line.message === 'listening');
	}

	get url(): string {
		return `http://127.0.0.1:${this.ports.callerPort}`;
	}

	get backendServerUrl(): string {
		return `http://127.0.0.1:${this.backendServerPort}`;
	}

	async start(): Promise<void> {
		this.ports = await this.node.start() as Ports;
	}

	async startBackend(): Promise<void> {
		const args = backendArguments(this.plan, `http://127.0.0.1:${this.ports.backendPort}`, this.seed);
		this.backend = new ChildProgram(`${this.plan.nodeId} backend server`, args, line => line.ready === true);
		this.backend.onDidPrint(line => {
			if (line.execution) {
				this.recordEmitter.fire(line.execution as ExecutionRecord);
			}
		});
		const {port} = await this.backend.start();
		this.backendServerPort = Number(port);
	}

	/** Freezes the node's process with SIGSTOP until `resume`; its backend server keeps running. */
	freeze(): void {
		this.node.signal('SIGSTOP');
	}

	resume(): void {
		this.node.signal('SIGCONT');
	}

	async killBackend(): Promise<void> {
		await this.backend?.kill();
	}

	/** Stops the backend server as a shutdown of its VM does, and returns its exit status. */
	async terminateBackend(): Promise<number | undefined> {
		return this.backend?.terminate();
	}

	async kill(): Promise<void> {
		await Promise.all([this.node.kill(), this.killBackend()]);
	}
}
