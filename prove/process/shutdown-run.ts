import {setTimeout as delay} from 'node:timers/promises';
import {type NodePlan} from '../../standins/graph/graph-plan.js';
import {samplePlan} from '../../standins/graph/sample-plan.js';
import {EventKind} from '../history/event-kind.js';
import {FaultKind} from './fault-kind.js';
import {mintCharge} from './mint-charge.js';
import {RecordedRun} from './recorded-run.js';

const nodeFlags = ['--lease-ttl-ms', '3000', '--lease-margin-ms', '500', '--gossip-interval-ms', '200'];
const requestIntervalMs = 15;
const repeatAfterMs = 1000;
/** Time for which load continues after the last replacement, so that ids of the last hand-over are retried too. */
const finalLoadMs = 500;

/** Under load, stops and replaces the node and the backend server of each VM in turn, in an order that the seed determines. */
export class ShutdownRun extends RecordedRun {
	private readonly stopping = new Set<string>();
	private finished = false;

	constructor(seed: number, nodeFile?: string) {
		super({...samplePlan(seed, nodeFlags), nodeFile});
	}

	protected async drive(): Promise<void> {
		await Promise.all([this.sendLoad(), this.replaceAll()]);
	}

	private async sendLoad(): Promise<void> {
		const sent: Array<Promise<void>> = [];
		for (let index = 0; !this.finished; index++) {
			sent.push(this.sendTwice(index));
			await delay(requestIntervalMs);
		}

		await Promise.all(sent);
	}

	/** Sends a charge and, after `repeatAfterMs`, retries it at a node that may be another one. */
	private async sendTwice(index: number): Promise<void> {
		const charge = mintCharge(this.choices, index);
		await this.sender.send(charge, this.chooseNode());
		await delay(repeatAfterMs);
		await this.sender.send(charge, this.chooseNode());
	}

	private chooseNode(): string {
		const nodeIds = this.graph.plan.nodes.map(({nodeId}) => nodeId).filter(nodeId => !this.stopping.has(nodeId));
		return this.choices.pick(nodeIds);
	}

	private async replaceAll(): Promise<void> {
		const left = [...this.graph.plan.nodes];
		while (left.length > 0) {
			const [plan] = left.splice(this.choices.between(0, left.length - 1), 1);
			await this.replace(plan);
		}

		await delay(finalLoadMs);
		this.finished = true;
	}

	private async replace(plan: NodePlan): Promise<void> {
		const {nodeId} = plan;
		this.stopping.add(nodeId);
		this.history.record({kind: EventKind.Fault, nodeId, fault: FaultKind.ReplaceVm});
		const program = this.graph.node(nodeId);
		await Promise.all([program.node.terminate(), program.terminateBackend()]);
		await this.graph.startNode(plan);
		await this.graph.whenSettled();
		this.stopping.delete(nodeId);
		this.history.record({kind: EventKind.Healed, nodeId});
	}
}
