import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {sleep} from '../../base/sleep.js';

/** Waits that double up to a limit, each drawn at random from the upper half, so that clients spread out. */
export class Backoff {
	private failures = 0;

	constructor(
		private readonly random: RandomGenerator,
		private readonly firstMs: number,
		private readonly limitMs: number,
	) {}

	/** Begins with the shortest wait again. */
	reset(): void {
		this.failures = 0;
	}

	/** The next wait, in milliseconds. */
	nextMs(): number {
		const fullMs = Math.min(this.limitMs, this.firstMs * (2 ** this.failures));
		this.failures++;
		return fullMs * (0.5 + (uniformFloat64(this.random) / 2));
	}

	/** Waits for `nextMs()`; rejects when the signal is aborted. */
	async wait(signal: AbortSignal): Promise<void> {
		await sleep(this.nextMs(), signal);
	}
}
