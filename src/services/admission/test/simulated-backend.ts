import {sleep} from '../../../base/sleep.js';

/** Backend server on a fake clock with fewer actual slots than it may announce; further requests queue inside it. */
export class SimulatedBackend {
	running = 0;
	maxRunning = 0;
	slowFactor = 1;
	private freeAtMs: number[] = [];

	constructor(private readonly slots: number, private readonly serviceTimeMs: number) {}

	async serve(): Promise<void> {
		this.running++;
		this.maxRunning = Math.max(this.maxRunning, this.running);
		const nowMs = Date.now();
		this.freeAtMs = this.freeAtMs.filter(freeAtMs => freeAtMs > nowMs).sort((left, right) => left - right);
		const startAtMs = this.freeAtMs.length < this.slots ? nowMs : this.freeAtMs[this.freeAtMs.length - this.slots];
		const endAtMs = startAtMs + (this.serviceTimeMs * this.slowFactor);
		this.freeAtMs.push(endAtMs);
		await sleep(endAtMs - nowMs);
		this.running--;
	}
}
