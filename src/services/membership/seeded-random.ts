import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {createRandom} from '../../base/create-random.js';

/** Pseudo-random choices, reproducible from a seed; the node id makes nodes with the same seed choose differently. */
export class SeededRandom {
	private readonly generator;

	constructor(seed: number, nodeId: string) {
		this.generator = createRandom(seed, nodeId);
	}

	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	next(): number {
		return uniformFloat64(this.generator);
	}

	/** Returns a number that differs from `value` by at most `fraction` of it. */
	jitter(value: number, fraction: number): number {
		return value * (1 + (fraction * ((2 * this.next()) - 1)));
	}

	/** Returns a shuffled copy (Fisher-Yates). */
	shuffle<T>(items: readonly T[]): T[] {
		const shuffled = [...items];
		for (let index = shuffled.length - 1; index > 0; index--) {
			const other = Math.floor(this.next() * (index + 1));
			[shuffled[index], shuffled[other]] = [shuffled[other], shuffled[index]];
		}

		return shuffled;
	}
}
