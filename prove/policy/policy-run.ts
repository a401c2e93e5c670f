import {setTimeout as sleep} from 'node:timers/promises';
import {ErrorKind} from '../../src/base/error-kind.js';
import {Execution} from '../../src/base/execution.js';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {policyDigest} from '../../src/services/policy/policy-digest.js';
import {policyKey} from '../../src/services/policy/policy-key.js';
import {type PolicyPatch} from '../../src/services/policy/policy-service.js';
import {type Policy} from '../../src/services/policy/policy.js';
import {type StoreFaults} from '../../standins/store/store-faults.js';
import {type PolicyEvent} from './policy-event.js';
import {PolicyEventKind} from './policy-event-kind.js';
import {PolicyMesh} from './policy-mesh.js';
import {type PolicyStep} from './policy-step.js';
import {PolicyStepKind} from './policy-step-kind.js';
import {type PolicyServiceClass, type ProofNode} from './proof-node.js';

/** Time within which an accepted version is in force at every node after the faults have ended. */
const propagationBoundMs = 3000;
const submitTimeoutMs = 800;
const pollMs = 10;
const slowMs = 40;
const lossFraction = 0.5;

const firstDocument = {
	services: [{name: 'catalogue'}],
	operations: [{
		name: 'stock', method: 'GET', path: '/stock', service: 'catalogue', importance: 'normal', idempotent: true, timeoutMs: 1000,
	}],
	callers: [{name: 'clerk', patienceMs: 1000, retryTotal: 1}],
};

/** Runs one schedule and records its history. */
export class PolicyRun {
	readonly faultsByKind: Record<string, number> = {};
	readonly refusalsByKind: Record<string, number> = {};
	patchCount = 0;
	private readonly mesh: PolicyMesh;
	private readonly patches: PolicyPatch[] = [];
	private readonly submissions: Array<Promise<void>> = [];

	private readonly actions = new Map<PolicyStepKind, (step: PolicyStep) => void>([
		[PolicyStepKind.Patch, ({first}) => {
			this.submit(this.nodeOf(first), this.newPatch(this.nodeOf(first).policy.version));
		}],
		[PolicyStepKind.Race, step => {
			this.race(step);
		}],
		[PolicyStepKind.Repeat, step => {
			this.repeat(step);
		}],
		[PolicyStepKind.Heal, () => {
			this.heal();
		}],
	]);

	private readonly faultActions = new Map<PolicyStepKind, (step: PolicyStep) => void | Promise<void>>([
		[PolicyStepKind.Restart, async ({first}) => this.mesh.restart(first % this.mesh.nodes.length)],
		[PolicyStepKind.Partition, () => {
			this.mesh.isPartitioned = true;
		}],
		[PolicyStepKind.ZoneOutage, ({first}) => {
			this.mesh.stores[first % this.mesh.stores.length].setFaults({outage: true});
		}],
		[PolicyStepKind.Outage, () => {
			this.setStoreFaults({outage: true});
		}],
		[PolicyStepKind.SilentWatches, () => {
			this.setStoreFaults({silentWatches: true});
		}],
		[PolicyStepKind.SilentStore, () => {
			this.setStoreFaults({silent: true});
		}],
		[PolicyStepKind.SlowStore, () => {
			this.setStoreFaults({slowMs});
		}],
		[PolicyStepKind.LostAnswers, () => {
			this.setStoreFaults({loseAnswers: lossFraction, seed: this.seed});
		}],
	]);

	constructor(private readonly seed: number, policyClass: PolicyServiceClass) {
		this.mesh = new PolicyMesh(seed, policyClass);
	}

	get events(): readonly PolicyEvent[] {
		return this.mesh.events;
	}

	async run(steps: readonly PolicyStep[]): Promise<void> {
		await this.mesh.start();
		try {
			await this.mesh.nodes[0].policy.initialize(firstDocument, AbortSignal.timeout(submitTimeoutMs));
			for (const step of steps) {
				await this.runStep(step);
				await sleep(step.pauseMs);
			}

			this.heal();
			await Promise.all(this.submissions);
			this.recordStored();
			await this.settle();
		} finally {
			this.mesh.dispose();
		}
	}

	private async runStep(step: PolicyStep): Promise<void> {
		const act = this.actions.get(step.kind);
		if (act) {
			act(step);
			return;
		}

		this.faultsByKind[step.kind] = (this.faultsByKind[step.kind] ?? 0) + 1;
		await this.faultActions.get(step.kind)?.(step);
	}

	private nodeOf(choice: number): ProofNode {
		return this.mesh.nodes[choice % this.mesh.nodes.length];
	}

	private race({first, second}: PolicyStep): void {
		const {version} = this.nodeOf(first).policy;
		this.submit(this.nodeOf(first), this.newPatch(version));
		this.submit(this.nodeOf(second), this.newPatch(version));
	}

	private repeat({first, second}: PolicyStep): void {
		if (this.patches.length > 0) {
			this.submit(this.nodeOf(first), this.patches[second % this.patches.length]);
		}
	}

	private setStoreFaults(faults: StoreFaults): void {
		for (const store of this.mesh.stores) {
			store.setFaults(faults);
		}
	}

	private heal(): void {
		this.mesh.isPartitioned = false;
		for (const store of this.mesh.stores) {
			store.setFaults({outage: false, slowMs: 0, loseAnswers: 0});
		}
	}

	private newPatch(baseVersion: number): PolicyPatch {
		this.patchCount++;
		const patch: PolicyPatch = {
			patchId: `patch-${this.patchCount}`,
			baseVersion: Math.max(1, baseVersion),
			operations: [{op: 'replace', path: '/operations/0/timeoutMs', value: 1000 + this.patchCount}],
		};
		this.patches.push(patch);
		return patch;
	}

	private submit(node: ProofNode, patch: PolicyPatch): void {
		this.submissions.push(this.submitAndRecord(node, patch));
	}

	private async submitAndRecord(node: ProofNode, patch: PolicyPatch): Promise<void> {
		const {patchId} = patch;
		try {
			const {version} = await node.policy.submit(patch, AbortSignal.timeout(submitTimeoutMs));
			this.mesh.events.push({kind: PolicyEventKind.Accepted, patchId, version});
		} catch (error) {
			const kind = error instanceof KumquatlineError ? error.kind : ErrorKind.Internal;
			this.refusalsByKind[kind] = (this.refusalsByKind[kind] ?? 0) + 1;
			const isRejected = error instanceof KumquatlineError && error.execution === Execution.NotRun;
			this.mesh.events.push({kind: isRejected ? PolicyEventKind.Rejected : PolicyEventKind.Unknown, patchId});
		}
	}

	private recordStored(): void {
		for (const {key, entry} of this.mesh.state.changesSince(0)) {
			if (key === policyKey && entry) {
				const policy = JSON.parse(entry.value) as Policy;
				const patchIds = policy.recentPatches.map(({patchId, version}) => ({patchId, version}));
				this.mesh.events.push({
					kind: PolicyEventKind.Stored, version: policy.version, digest: policyDigest(policy), patchIds,
				});
			}
		}
	}

	private async settle(): Promise<void> {
		const latest = this.mesh.events.findLast(({kind}) => kind === PolicyEventKind.Stored)?.version;
		const endAtMs = performance.now() + propagationBoundMs;
		while (performance.now() < endAtMs && this.mesh.nodes.some(node => node.policy.version !== latest)) {
			await sleep(pollMs);
		}

		for (const {incarnation, policy} of this.mesh.nodes) {
			this.mesh.events.push({kind: PolicyEventKind.Settled, incarnation, version: policy.version});
		}
	}
}
