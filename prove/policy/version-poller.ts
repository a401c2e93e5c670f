import {setTimeout as sleep} from 'node:timers/promises';
import {type ProcessGraph} from '../../standins/graph/process-graph.js';
import {type PolicyEvent} from './policy-event.js';
import {PolicyEventKind} from './policy-event-kind.js';

const pollIntervalMs = 40;
const statusTimeoutMs = 400;

/** Polls the status of the nodes of a graph and records each change of their policy version. */
export class VersionPoller {
	private readonly versions = new Map<string, number>();
	private isStopped = false;

	constructor(private readonly graph: ProcessGraph, private readonly events: PolicyEvent[]) {}

	async run(): Promise<void> {
		while (!this.isStopped) {
			await Promise.all([...this.graph.nodes.keys()].map(async nodeId => this.poll(nodeId)));
			await sleep(pollIntervalMs);
		}
	}

	stop(): void {
		this.isStopped = true;
	}

	private async poll(nodeId: string): Promise<void> {
		try {
			const {self, policyVersion} = await this.graph.status(nodeId, AbortSignal.timeout(statusTimeoutMs));
			this.recordVersion(self.incarnation, policyVersion);
		} catch {
			// Killed, frozen or not yet started.
		}
	}

	private recordVersion(incarnation: string, version: number): void {
		if (version > 0 && version !== this.versions.get(incarnation)) {
			this.versions.set(incarnation, version);
			this.events.push({kind: PolicyEventKind.InForce, incarnation, version});
		}
	}
}
