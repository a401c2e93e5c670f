import {setTimeout as delay} from 'node:timers/promises';
import {samplePlan} from '../../standins/graph/sample-plan.js';
import {EventKind} from '../history/event-kind.js';
import {type CallerRequest} from './attempt-sender.js';
import {FaultKind} from './fault-kind.js';
import {injectFault} from './inject-fault.js';
import {mintCharge} from './mint-charge.js';
import {RecordedRun} from './recorded-run.js';

const idCount = 60;
const attemptsPerId = 4;
/** Period over which the first attempts of all ids are spread. */
const spreadMs = 5000;
const leaseTtlMs = 2000;
const faultsPerRun = 2;
const nodeFlags = ['--lease-ttl-ms', String(leaseTtlMs), '--lease-margin-ms', '500', '--clock-skew-bound-ms', '100', '--gossip-interval-ms', '200', '--log-level', 'info'];
const minFaultMs = 300;
const maxFaultMs = 3500;

/** One run with separate processes: charges are retried at several nodes concurrently, with two faults at random times. */
export class FaultRun extends RecordedRun {
	constructor(seed: number, nodeFile?: string) {
		super({...samplePlan(seed, nodeFlags), nodeFile, hasShards: nodeFile === undefined});
	}

	protected async drive(): Promise<void> {
		const charges = Array.from({length: idCount}, (_, index) => mintCharge(this.choices, index));
		const faults = this.planFaults();
		await Promise.all([
			...charges.map(async charge => this.sendAttempts(charge)),
			...faults.map(async fault => this.injectPlannedFault(fault)),
		]);
	}

	private planFaults() {
		const kinds = Object.values(FaultKind);
		const nodeIds = this.graph.plan.nodes.map(({nodeId}) => nodeId);
		return Array.from({length: faultsPerRun}, () => {
			const [nodeId] = nodeIds.splice(this.choices.between(0, nodeIds.length - 1), 1);
			return {
				kind: this.choices.pick(kinds),
				nodeId,
				startMs: this.choices.between(0, spreadMs / 2),
				durationMs: this.choices.between(minFaultMs, maxFaultMs),
			};
		});
	}

	private async injectPlannedFault(fault: ReturnType<FaultRun['planFaults']>[number]): Promise<void> {
		await delay(fault.startMs);
		this.history.record({kind: EventKind.Fault, nodeId: fault.nodeId, fault: fault.kind});
		await injectFault(this.graph, fault);
	}

	/** Sends the attempts of one id to nodes in both zones, some of them at the same time. */
	private async sendAttempts(charge: CallerRequest): Promise<void> {
		const firstMs = this.choices.between(0, spreadMs);
		const attempts = Array.from({length: attemptsPerId}, () => ({
			atMs: firstMs + this.choices.pick([0, 0, 20, 300, 1500]),
			nodeId: this.choices.pick(this.graph.plan.nodes).nodeId,
		}));
		await Promise.all(attempts.map(async ({atMs, nodeId}) => {
			await delay(atMs);
			await this.sender.send(charge, nodeId);
		}));
	}
}
