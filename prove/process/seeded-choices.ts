import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Random choices that can be reproduced by their seed. */
export class SeededChoices {
	private readonly random;

	constructor(seed: number) {
		this.random = xoroshiro128plus(seed);
	}

	/** Returns a random number in [0, 1). */
	fraction(): number {
		return uniformFloat64(this.random);
	}

	between(min: number, max: number): number {
		return Math.floor(min + (this.fraction() * (max - min + 1)));
	}

	pick<T>(items: readonly T[]): T {
		return items[this.between(0, items.length - 1)];
	}

	/** Returns 16 random bytes for a UUID, like one that a caller generates. */
	uuidBytes(): Uint8Array {
		return Uint8Array.from({length: 16}, () => this.between(0, 255));
	}
}
