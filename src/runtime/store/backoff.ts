import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {sleep} from '../../base/sleep.js';

/** Exponential backoff up to a limit, with jitter over the upper half of each wait so that clients don't retry at the same time. */
export class Backoff {
	private failures = 0;

	constructor(
		private readonly random: RandomGenerator,
		private readonly initialMs: number,
		private readonly limitMs: number,
	) {}

	/** Starts again with the shortest wait. */
	reset(): void {
		this.failures = 0;
	}

	/** Returns the duration of the next wait. */
	nextMs(): number {
		const fullMs = Math.min(this.limitMs, this.initialMs * (2 ** this.failures));
		this.failures++;
		return fullMs * (0.5 + (uniformFloat64(this.random) / 2));
	}

	/** Waits for `nextMs()`; rejects when the signal is aborted. */
	async wait(signal: AbortSignal): Promise<void> {
		await sleep(this.nextMs(), signal);
	}
}
