import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {type ExecutionRecord} from '../../standins/backend-server/execution-record.js';
import {backendArguments} from '../../standins/graph/backend-arguments.js';
import {ChildProgram} from '../../standins/graph/child-program.js';
import {type NodePlan} from '../../standins/graph/graph-plan.js';
import {type OverloadSetup} from './overload-setup.js';
import {type SystemUnderTest} from './system-under-test.js';

const forwarderFile = fileURLToPath(new URL('../baseline/main.js', import.meta.url));

type Pair = {
	readonly plan: NodePlan;
	readonly url: string;
	readonly backendServerUrl: string;
};

/** Baseline system: plain forwarding with retries at every hop. */
export class BaselineSystem implements SystemUnderTest {
	private readonly programs: ChildProgram[] = [];
	private pairs: readonly Pair[] = [];

	get name(): string {
		return 'baseline';
	}

	get entryUrls(): readonly string[] {
		return this.pairs.map(({url}) => url);
	}

	async start({nodes, policy}: OverloadSetup, seed: number): Promise<void> {
		this.pairs = await Promise.all(nodes.map(async (plan, index) => this.startPair(plan, seed + index + 1)));
		const operations = policy.operations as ReadonlyArray<{path: string; service: string}>;
		const routes = Object.fromEntries(operations.map(({path, service}) => [path, this.upstreamsOf(service).map(({url}) => url)]));
		await Promise.all(this.pairs.map(async ({url}) => post(`${url}/baseline/routes`, routes)));
	}

	async setFaults(service: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
		await Promise.all(this.upstreamsOf(service).map(async ({backendServerUrl}) => post(`${backendServerUrl}/stand-in/faults`, faults)));
	}

	async readHistory(): Promise<ExecutionRecord[]> {
		const histories = await Promise.all(this.pairs.map(async ({backendServerUrl}) => {
			const {body} = await request(`${backendServerUrl}/stand-in/history`);
			return await body.json() as ExecutionRecord[];
		}));
		return histories.flat();
	}

	async dispose(): Promise<void> {
		await Promise.all(this.programs.map(async program => program.kill()));
	}

	private upstreamsOf(service: string): Pair[] {
		return this.pairs.filter(({plan}) => plan.service === service);
	}

	private async startPair(plan: NodePlan, seed: number): Promise<Pair> {
		const {callerPort, backendPort} = await this.startProgram(plan.nodeId, [forwarderFile]);
		const args = backendArguments(plan, `http://127.0.0.1:${Number(backendPort)}`, seed);
		const {port} = await this.startProgram(`${plan.nodeId} backend server`, args);
		return {plan, url: `http://127.0.0.1:${Number(callerPort)}`, backendServerUrl: `http://127.0.0.1:${Number(port)}`};
	}

	private async startProgram(name: string, args: readonly string[]): Promise<Readonly<Record<string, unknown>>> {
		const program = new ChildProgram(name, args, line => line.ready === true);
		this.programs.push(program);
		return program.start();
	}
}

async function post(url: string, body: unknown): Promise<void> {
	const response = await request(url, {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(body)});
	await response.body.dump();
}
