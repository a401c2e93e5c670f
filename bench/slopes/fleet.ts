import {StoreStandIn} from '../../standins/store/store-stand-in.js';
import {sleep} from '../../src/base/sleep.js';
import {FleetProcess} from './fleet-process.js';
import {type FleetSample} from './fleet-sample.js';

const processCount = 4;
const zoneCount = 5;
/** Fraction of the members that each member must know before the measurement; broadcasting all of them within the byte budget takes longer. */
const settledFraction = 0.9;
const settleTimeoutMs = 30_000;
const pollMs = 100;
const {signal} = new AbortController();

type FleetOptions = {
	readonly size: number;
	readonly gossipIntervalMs: number;
	readonly leaseTtlMs: number;
	readonly seed: number;
};

/** Members in a few worker processes, with a stand-in for the store. */
export class Fleet {
	readonly store = new StoreStandIn();
	private processes: FleetProcess[] = [];

	constructor(private readonly options: FleetOptions) {}

	async start(policy: Readonly<Record<string, unknown>>): Promise<void> {
		await this.store.listen();
		const membersPerProcess = Math.ceil(this.options.size / processCount);
		for (let index = 0; index < processCount; index++) {
			const first = index * membersPerProcess;
			this.processes.push(this.fork('node', first, Math.min(membersPerProcess, this.options.size - first)));
		}

		await Promise.all(this.processes.map(async process => process.ready));
		await this.processes[0].sendCommand({kind: 'init', policy});
		await this.waitUntilKnown(this.options.size * settledFraction);
	}

	/** Resolves when every member knows at least `count` members. */
	async waitUntilKnown(count: number): Promise<void> {
		const deadlineMs = performance.now() + settleTimeoutMs;
		let knownCounts = '';
		while (performance.now() < deadlineMs) {
			const known = await Promise.all(this.processes.map(async process => process.sendCommand({kind: 'known'}) as Promise<number>));
			knownCounts = known.join(', ');
			if (Math.min(...known) >= count) {
				return;
			}

			await sleep(pollMs, signal);
		}

		throw new Error(`membership did not settle within ${settleTimeoutMs} ms: minimum known members per worker process ${knownCounts}, required ${count}`);
	}

	async samples(): Promise<FleetSample[]> {
		return Promise.all(this.processes.map(async process => process.sendCommand({kind: 'sample'}) as Promise<FleetSample>));
	}

	async patch(baseVersion: number): Promise<void> {
		await this.processes[0].sendCommand({kind: 'patch', baseVersion});
	}

	async drain(index: number): Promise<void> {
		await this.processOf(index).sendCommand({kind: 'drain', nodeId: `node-${index}`});
	}

	async kill(index: number): Promise<void> {
		await this.processOf(index).sendCommand({kind: 'kill', nodeId: `node-${index}`});
	}

	/** How long after `sinceMs` each member learned of the subject; undefined for those that did not. */
	async delaysMs(subject: string, sinceMs: number): Promise<Array<number | undefined>> {
		const seen = await Promise.all(this.processes.map(async process => process.sendCommand({kind: 'seen', subject}) as Promise<number[]>));
		return seen.flat().map(atMs => atMs >= sinceMs ? atMs - sinceMs : undefined);
	}

	/** Kills one worker process with all its members and starts as many new members in a new process. */
	async replaceOneProcess(): Promise<number> {
		const membersPerProcess = Math.ceil(this.options.size / processCount);
		this.processes.pop()?.kill();
		const replacement = this.fork('new', 0, membersPerProcess);
		this.processes.push(replacement);
		await replacement.ready;
		return membersPerProcess;
	}

	dispose(): void {
		for (const process of this.processes) {
			process.kill();
		}

		this.processes = [];
		this.store.dispose();
	}

	private processOf(index: number): FleetProcess {
		return this.processes[Math.floor(index / Math.ceil(this.options.size / processCount))];
	}

	private fork(prefix: string, first: number, count: number): FleetProcess {
		const {gossipIntervalMs, leaseTtlMs, seed} = this.options;
		return new FleetProcess({
			prefix, first, count, zoneCount, storeUrl: this.store.url, gossipIntervalMs, leaseTtlMs, seed,
		});
	}
}
