import {request} from 'undici';
import {type ExecutionRecord} from '../../standins/backend-server/execution-record.js';
import {ProcessGraph} from '../../standins/graph/process-graph.js';
import {type OverloadSetup} from './overload-setup.js';
import {type SystemUnderTest} from './system-under-test.js';

/** Nodes of this project, from a given program file and with additional flags. */
export class KumquatlineSystem implements SystemUnderTest {
	private graph: ProcessGraph | undefined;
	private setup: OverloadSetup | undefined;

	constructor(readonly name: string, private readonly nodeFile?: string, private readonly nodeFlags: readonly string[] = []) {}

	get entryUrls(): readonly string[] {
		return [...this.graph?.nodes.values() ?? []].map(({url}) => url);
	}

	async start(setup: OverloadSetup, seed: number): Promise<void> {
		const {nodes, policy} = setup;
		this.setup = setup;
		this.graph = new ProcessGraph({
			nodes, policy, seed, nodeFile: this.nodeFile, nodeFlags: ['--log-level', 'info', ...this.nodeFlags],
		});
		await this.graph.start();
	}

	async setFaults(service: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
		const nodes = this.setup?.nodes.filter(node => node.service === service) ?? [];
		await Promise.all(nodes.map(async ({nodeId}) => this.graph?.setBackendFaults(nodeId, faults)));
	}

	async readHistory(): Promise<ExecutionRecord[]> {
		const nodes = [...this.graph?.nodes.values() ?? []];
		const histories = await Promise.all(nodes.map(async ({backendServerUrl}) => {
			const {body} = await request(`${backendServerUrl}/stand-in/history`);
			return await body.json() as ExecutionRecord[];
		}));
		return histories.flat();
	}

	async dispose(): Promise<void> {
		await this.graph?.dispose();
	}
}
