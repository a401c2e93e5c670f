import {setTimeout as delay} from 'node:timers/promises';
import {v7 as uuidv7} from 'uuid';
import {chainPlan} from '../../standins/graph/chain-plan.js';
import {EventKind} from '../history/event-kind.js';
import {FaultKind} from './fault-kind.js';
import {mintCharge} from './mint-charge.js';
import {RecordedRun} from './recorded-run.js';

const depth = 6;
const upstreamsPerService = 2;
const requestCount = 40;
const attemptsPerRequest = 3;
const spreadMs = 3000;
const failShare = 0.3;
const killAfterMs = 1000;
const nodeFlags = ['--lease-ttl-ms', '2000', '--lease-margin-ms', '500', '--clock-skew-bound-ms', '100', '--gossip-interval-ms', '200'];

/** Reads through a chain of six services that all fail at random; callers retry them at other nodes, and an owner of their ids is killed meanwhile. */
export class RetryRun extends RecordedRun {
	constructor(private readonly seed: number, retryTotal: number, nodeFile?: string) {
		const plan = chainPlan({
			depth, upstreamsPerService, retryTotal, nodeFlags, seed,
		});
		super({...plan, nodeFile});
	}

	protected async drive(): Promise<void> {
		await this.injectFailures();
		const reads = Array.from({length: requestCount}, async () => this.sendAttempts());
		await Promise.all([...reads, this.killOwner()]);
	}

	private async injectFailures(): Promise<void> {
		await Promise.all([...this.graph.nodes.keys()].map(async nodeId => this.graph.setBackendFaults(nodeId, {failShare})));
	}

	/** Kills one of the two upstreams of the first service; each of them owns half of its ids. */
	private async killOwner(): Promise<void> {
		await delay(killAfterMs);
		const nodeId = `level-1-zone-${1 + (this.seed % upstreamsPerService)}`;
		this.history.record({kind: EventKind.Fault, nodeId, fault: FaultKind.KillVm});
		await this.graph.node(nodeId).kill();
	}

	private async sendAttempts(): Promise<void> {
		const {traceId} = mintCharge(this.choices, 0);
		const startMs = this.choices.between(0, spreadMs);
		const attempts = Array.from({length: attemptsPerRequest}, () => ({
			afterMs: this.choices.pick([0, 10, 200, 800]),
			nodeId: this.choices.pick(this.graph.plan.nodes).nodeId,
		}));
		await delay(startMs);
		const request = {requestId: uuidv7(), traceId, path: '/level-1'};
		await Promise.all(attempts.map(async ({afterMs, nodeId}) => {
			await delay(afterMs);
			await this.sender.send(request, nodeId);
		}));
	}
}
