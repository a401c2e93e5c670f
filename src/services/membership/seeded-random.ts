import {createHash, randomInt} from 'node:crypto';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const maxSeed = 2_147_483_647;

/** Random choices that a seed reproduces; the node's id sets nodes of one seed apart. */
export class SeededRandom {
	private readonly generator;

	constructor(seed: number, nodeId: string) {
		const base = seed === 0 ? randomInt(maxSeed) : seed;
		const digest = createHash('sha256').update(`${base}:${nodeId}`).digest();
		this.generator = xoroshiro128plus(digest.readInt32LE());
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
