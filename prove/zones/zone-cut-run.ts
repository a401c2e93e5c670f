import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {ProcessGraph} from '../../standins/graph/process-graph.js';
import {samplePlan} from '../../standins/graph/sample-plan.js';
import {EventKind} from '../history/event-kind.js';
import {History} from '../history/history.js';
import {AttemptSender} from '../process/attempt-sender.js';
import {FaultKind} from '../process/fault-kind.js';
import {mintCharge} from '../process/mint-charge.js';
import {recordExecutions} from '../process/record-executions.js';
import {SeededChoices} from '../process/seeded-choices.js';

const nodeFile = fileURLToPath(new URL('cuttable-node.js', import.meta.url));
const nodeFlags = ['--lease-ttl-ms', '2000', '--lease-margin-ms', '500', '--clock-skew-bound-ms', '100'];
const requestIntervalMs = 20;
const beforeMs = 500;
const maxFaultDelayMs = 1000;
const minPartitionMs = 3000;
const maxPartitionMs = 5000;
const afterMs = 3000;
const zoneCutFault = 'zone-cut';

/** Sends reads and charges to every node while the zones are partitioned and the store is unreachable, both starting at seeded times. */
export class ZoneCutRun {
	readonly history = new History();
	/** Number of requests sent during the partition, by kind and outcome. */
	readonly outcomesDuringPartition: Record<string, number> = {};
	private readonly choices: SeededChoices;
	private readonly graph: ProcessGraph;
	private readonly sender: AttemptSender;
	private finished = false;
	private isPartitioned = false;
	private sentCount = 0;

	constructor(seed: number, file = nodeFile) {
		this.choices = new SeededChoices(seed);
		const plan = samplePlan(seed, nodeFlags);
		const nodes = plan.nodes.map(node => ({...node, backendFlags: ['--print-history']}));
		this.graph = new ProcessGraph({...plan, nodes, nodeFile: file});
		this.sender = new AttemptSender(this.graph, this.history);
		recordExecutions(this.graph, this.history);
	}

	async run(): Promise<History> {
		try {
			await this.graph.start();
			await Promise.all([this.sendLoad(), this.injectFaults()]);
		} finally {
			await this.sender.dispose();
			await this.graph.dispose();
		}

		return this.history;
	}

	private async injectFaults(): Promise<void> {
		await delay(beforeMs);
		const partitionMs = this.choices.between(minPartitionMs, maxPartitionMs);
		await Promise.all([
			this.partitionZones(this.choices.between(0, maxFaultDelayMs), partitionMs),
			this.injectStoreOutage(this.choices.between(0, maxFaultDelayMs), partitionMs),
		]);
		await delay(afterMs);
		this.finished = true;
	}

	private async partitionZones(startMs: number, durationMs: number): Promise<void> {
		await delay(startMs);
		this.history.record({kind: EventKind.Fault, fault: zoneCutFault});
		this.togglePartition();
		await delay(durationMs);
		this.togglePartition();
	}

	private togglePartition(): void {
		this.isPartitioned = !this.isPartitioned;
		for (const program of this.graph.nodes.values()) {
			program.node.signal('SIGUSR2');
		}
	}

	private async injectStoreOutage(startMs: number, durationMs: number): Promise<void> {
		await delay(startMs);
		this.history.record({kind: EventKind.Fault, fault: FaultKind.StoreOutage});
		await this.graph.setStoreFaults({outage: true});
		await delay(durationMs);
		await this.graph.setStoreFaults({outage: false});
	}

	private async sendLoad(): Promise<void> {
		const sent: Array<Promise<void>> = [];
		const nodeIds = this.graph.plan.nodes.map(({nodeId}) => nodeId);
		while (!this.finished) {
			this.sentCount++;
			const nodeId = this.choices.pick(nodeIds);
			sent.push(this.sentCount % 2 === 0 ? this.read(nodeId, this.sentCount % 8 !== 0) : this.charge(nodeId, this.sentCount % 4 === 1));
			await delay(requestIntervalMs);
		}

		await Promise.all(sent);
	}

	/** Sends a read. Reads with an idempotency key need the owner of that id, because it counts them as attempts. */
	private async read(nodeId: string, withoutKey: boolean): Promise<void> {
		const {isPartitioned} = this;
		const requestId = `${withoutKey ? 'read' : 'keyed-read'}-${this.sentCount}`;
		await this.sender.send({
			requestId, traceId: this.traceId(), path: `/panels/${this.sentCount}`, withoutKey,
		}, nodeId);
		this.count(withoutKey ? 'read' : 'keyed read', requestId, isPartitioned);
	}

	private async charge(nodeId: string, isReserved: boolean): Promise<void> {
		const {isPartitioned} = this;
		const minted = mintCharge(this.choices, this.sentCount);
		const requestId = isReserved ? await this.reserve(nodeId) : minted.requestId;
		if (requestId === undefined) {
			return;
		}

		await this.sender.send({...minted, requestId}, nodeId);
		this.count(isReserved ? 'reserved charge' : 'minted charge', requestId, isPartitioned);
	}

	private count(what: string, requestId: string, isPartitioned: boolean): void {
		const outcome = this.history.events.findLast(event => event.requestId === requestId
			&& (event.kind === EventKind.Answered || event.kind === EventKind.Lost));
		if (isPartitioned) {
			const name = `${what} ${outcome?.errorKind ?? outcome?.status ?? 'lost'}`;
			this.outcomesDuringPartition[name] = (this.outcomesDuringPartition[name] ?? 0) + 1;
		}
	}

	/** Requests an id that the node itself owns; undefined if the node reserves none. */
	private async reserve(nodeId: string): Promise<string | undefined> {
		const response = await request(`${this.graph.node(nodeId).url}/kumquatline/ids`, {
			method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({count: 1}),
		});
		const {ids} = await response.body.json() as {ids: string[]};
		return ids.at(0);
	}

	private traceId(): string {
		return Buffer.from(this.choices.uuidBytes()).toString('hex');
	}
}
