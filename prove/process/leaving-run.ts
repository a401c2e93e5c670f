import {setTimeout as delay} from 'node:timers/promises';
import {samplePlan} from '../../standins/graph/sample-plan.js';
import {EventKind} from '../history/event-kind.js';
import {FaultKind} from './fault-kind.js';
import {injectFault} from './inject-fault.js';
import {mintCharge} from './mint-charge.js';
import {RecordedRun} from './recorded-run.js';

const nodeFlags = ['--lease-ttl-ms', '2000', '--lease-margin-ms', '500', '--clock-skew-bound-ms', '100'];
const requestIntervalMs = 10;
const maxFaultDelayMs = 1000;
/** Time for which load continues after the announcement. */
const afterDrainMs = 6000;
const otherFaults = [FaultKind.StoreOutage, FaultKind.LostStoreAnswers, FaultKind.FreezeNode, FaultKind.KillVm, FaultKind.SlowBackendServer];

/** Under load, a backend server announces that it is draining while its health endpoint still reports it as healthy, with another fault meanwhile. */
export class LeavingRun extends RecordedRun {
	private finished = false;

	constructor(seed: number, nodeFile?: string) {
		super({...samplePlan(seed, nodeFlags), nodeFile});
	}

	protected async drive(): Promise<void> {
		await Promise.all([this.sendLoad(), this.injectFaults()]);
	}

	private async sendLoad(): Promise<void> {
		const sent: Array<Promise<void>> = [];
		const nodeIds = this.graph.plan.nodes.map(({nodeId}) => nodeId);
		for (let index = 0; !this.finished; index++) {
			const charge = mintCharge(this.choices, index);
			const read = {
				requestId: `read-${index}`, traceId: charge.traceId, path: `/panels/${index}`, withoutKey: true,
			};
			sent.push(this.sender.send(index % 3 === 0 ? read : charge, this.choices.pick(nodeIds)));
			await delay(requestIntervalMs);
		}

		await Promise.all(sent);
	}

	private async injectFaults(): Promise<void> {
		const nodeIds = this.graph.plan.nodes.map(({nodeId}) => nodeId);
		const leaving = this.choices.pick(nodeIds);
		const kind = this.choices.pick(otherFaults);
		const faultyNodeId = kind === FaultKind.SlowBackendServer ? leaving : this.choices.pick(nodeIds.filter(nodeId => nodeId !== leaving));
		const faultDelayMs = this.choices.between(0, maxFaultDelayMs);
		const drainDelayMs = this.choices.between(0, maxFaultDelayMs);
		const durationMs = this.choices.between(500, 3500);
		await Promise.all([
			this.injectAfterDelay(kind, faultyNodeId, faultDelayMs, durationMs),
			this.injectAfterDelay(FaultKind.AnnouncedLeaving, leaving, drainDelayMs, afterDrainMs),
		]);
		this.finished = true;
	}

	private async injectAfterDelay(kind: FaultKind, nodeId: string, startMs: number, durationMs: number): Promise<void> {
		await delay(startMs);
		this.history.record({kind: EventKind.Fault, nodeId, fault: kind});
		await injectFault(this.graph, {kind, nodeId, durationMs});
	}
}
