import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {createRandom} from '../../base/create-random.js';

/** Random choices that a seed reproduces; the node's id sets nodes of one seed apart. */
export class SeededRandom {
	private readonly generator;

	constructor(seed: number, nodeId: string) {
		this.generator = createRandom(seed, nodeId);
	}

	/** A number from 0 up to but not including 1. */
	next(): number {
		return uniformFloat64(this.generator);
	}

	/** A number within `share` above or below `value`. */
	jitter(value: number, share: number): number {
		return value * (1 + (share * ((2 * this.next()) - 1)));
	}

	/** Shuffles a copy (Fisher and Yates). */
	shuffle<T>(items: readonly T[]): T[] {
		const shuffled = [...items];
		for (let index = shuffled.length - 1; index > 0; index--) {
			const other = Math.floor(this.next() * (index + 1));
			[shuffled[index], shuffled[other]] = [shuffled[other], shuffled[index]];
		}

		return shuffled;
	}
}
