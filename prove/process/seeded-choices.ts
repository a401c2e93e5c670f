import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Random choices that one seed repeats. */
export class SeededChoices {
	private readonly random;

	constructor(seed: number) {
		this.random = xoroshiro128plus(seed);
	}

	/** A number from 0 up to, but not including, 1. */
	share(): number {
		return uniformFloat64(this.random);
	}

	between(min: number, max: number): number {
		return Math.floor(min + (this.share() * (max - min + 1)));
	}

	pick<T>(items: readonly T[]): T {
		return items[this.between(0, items.length - 1)];
	}

	/** A UUID of the given time and version 7, like one that a caller mints. */
	uuidBytes(): Uint8Array {
		return Uint8Array.from({length: 16}, () => this.between(0, 255));
	}
}
