import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Draws an item at random with a probability in proportion to its weight; undefined if there are no items. */
export function drawByWeight<T>(items: readonly T[], weightOf: (item: T) => number, random: RandomGenerator): T | undefined {
	let total = 0;
	for (const item of items) {
		total += weightOf(item);
	}

	let rest = uniformFloat64(random) * total;
	for (const item of items) {
		rest -= weightOf(item);
		if (rest < 0) {
			return item;
		}
	}

	return items.at(-1);
}
