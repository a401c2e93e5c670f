import {setTimeout as sleep} from 'node:timers/promises';
import {ExitStatus} from '../../src/programs/cli/exit-status.js';
import {ProcessGraph} from '../../standins/graph/process-graph.js';
import {samplePlan} from '../../standins/graph/sample-plan.js';
import {FaultKind} from '../process/fault-kind.js';
import {injectFault} from '../process/inject-fault.js';
import {SeededChoices} from '../process/seeded-choices.js';
import {Operator} from './operator.js';
import {type PolicyEvent} from './policy-event.js';
import {PolicyEventKind} from './policy-event-kind.js';
import {VersionPoller} from './version-poller.js';

const nodeFlags = ['--lease-ttl-ms', '2000', '--lease-margin-ms', '500', '--clock-skew-bound-ms', '100', '--gossip-interval-ms', '200'];
const rounds = 6;
const operatorsPerRound = 2;
const maxPauseMs = 400;
const faultCount = 3;
const minFaultMs = 300;
const maxFaultMs = 1500;
const spreadMs = 4000;
const changeTimeoutMs = 5000;
/** Time within which an accepted version is in force at every node after the faults have ended. */
const propagationBoundMs = 3000;
const faultKinds = [
	FaultKind.KillVm,
	FaultKind.FreezeNode,
	FaultKind.StoreOutage,
	FaultKind.LostStoreAnswers,
	FaultKind.SilentStoreConnections,
];

type Patch = {readonly patchId: string; readonly baseVersion: number; readonly operations: readonly unknown[]};

/** Operators submit concurrent patches with the command line to several nodes, in separate processes, while faults are injected. */
export class PolicyProcessRun {
	readonly events: PolicyEvent[] = [];
	readonly faultsByKind: Record<string, number> = {};
	readonly refusalsByKind: Record<string, number> = {};
	patchCount = 0;
	/** Time until the last version was in force at every node. */
	propagationMs = 0;
	private readonly choices: SeededChoices;
	private readonly graph: ProcessGraph;

	constructor(seed: number, nodeFile?: string) {
		this.choices = new SeededChoices(seed);
		this.graph = new ProcessGraph({...samplePlan(seed, nodeFlags), nodeFile});
	}

	async run(): Promise<void> {
		const poller = new VersionPoller(this.graph, this.events);
		try {
			await this.graph.start();
			const polling = poller.run();
			await Promise.all([this.changePolicy(), ...this.planFaults()]);
			await this.settle();
			poller.stop();
			await polling;
		} finally {
			poller.stop();
			await this.graph.dispose();
		}
	}

	private planFaults(): Array<Promise<void>> {
		const nodeIds = this.graph.plan.nodes.map(({nodeId}) => nodeId);
		return Array.from({length: faultCount}, async () => {
			const [nodeId] = nodeIds.splice(this.choices.between(0, nodeIds.length - 1), 1);
			const kind = this.choices.pick(faultKinds);
			const durationMs = this.choices.between(minFaultMs, maxFaultMs);
			this.faultsByKind[kind] = (this.faultsByKind[kind] ?? 0) + 1;
			await sleep(this.choices.between(0, spreadMs / 2));
			await injectFault(this.graph, {kind, nodeId, durationMs});
		});
	}

	private async changePolicy(): Promise<void> {
		for (let round = 0; round < rounds; round++) {
			const {policyVersion} = await this.readAnyVersion();
			await Promise.all(Array.from({length: operatorsPerRound}, async () => this.submit(this.newPatch(policyVersion))));
			await sleep(this.choices.between(0, maxPauseMs));
		}
	}

	private newPatch(baseVersion: number): Patch {
		this.patchCount++;
		return {
			patchId: `patch-${this.patchCount}`,
			baseVersion,
			operations: [{op: 'replace', path: '/operations/0/timeoutMs', value: 2000 + this.patchCount}],
		};
	}

	/** Submits a patch under the same patch id to random nodes until its outcome is known. */
	private async submit(patch: Patch): Promise<void> {
		for (let tries = 0; tries < rounds; tries++) {
			const operator = new Operator(this.chooseUrl());
			const {status, answer} = await operator.run(['policy', 'patch', '-', '--timeout-ms', String(changeTimeoutMs)], patch);
			if (status === ExitStatus.Ok) {
				this.events.push({kind: PolicyEventKind.Accepted, patchId: patch.patchId, version: Number(answer.version)});
				return;
			}

			const name = ExitStatus[status];
			this.refusalsByKind[name] = (this.refusalsByKind[name] ?? 0) + 1;
			if (status === ExitStatus.PolicyConflict || status === ExitStatus.PolicyInvalid) {
				this.events.push({kind: PolicyEventKind.Rejected, patchId: patch.patchId});
				return;
			}
		}

		this.events.push({kind: PolicyEventKind.Unknown, patchId: patch.patchId});
	}

	private async settle(): Promise<void> {
		const {policyVersion} = await this.readAnyVersion();
		const history = await new Operator(this.chooseUrl()).run(['policy', 'history']);
		const patches = history.answer.patches as Array<{patchId: string; version: number}>;
		this.events.push(...patches.map(({version}, index) => ({
			kind: PolicyEventKind.Stored, version, patchIds: patches.slice(0, index + 1),
		})));
		const startedAtMs = performance.now();
		const latest = Math.max(policyVersion, ...patches.map(({version}) => version));
		await Promise.all([...this.graph.nodes.keys()].map(async nodeId => this.waitForVersion(nodeId, latest)));
		this.propagationMs = performance.now() - startedAtMs;
	}

	private async waitForVersion(nodeId: string, version: number): Promise<void> {
		const node = this.graph.node(nodeId);
		const {status} = await new Operator(node.url).run(['policy', 'wait', String(version), '--timeout-ms', String(propagationBoundMs)]);
		const {answer} = await new Operator(node.url).run(['policy', 'show']);
		this.events.push({
			kind: PolicyEventKind.Settled,
			incarnation: node.ports.incarnation,
			version: status === ExitStatus.Ok ? Number(answer.version) : 0,
			digest: JSON.stringify(answer),
		});
	}

	private chooseUrl(): string {
		for (;;) {
			try {
				return this.graph.node(this.choices.pick(this.graph.plan.nodes).nodeId).url;
			} catch {
				// This one is being started; an operator would know another.
			}
		}
	}

	/** Reads the version in force at any node; skips nodes that don't answer. */
	private async readAnyVersion(): Promise<{policyVersion: number}> {
		for (;;) {
			const {nodeId} = this.choices.pick(this.graph.plan.nodes);
			try {
				return await this.graph.status(nodeId, AbortSignal.timeout(maxPauseMs));
			} catch {
				await sleep(maxPauseMs / 10);
			}
		}
	}
}
