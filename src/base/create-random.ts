import {createHash, randomInt} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

const maxSeed = 0x7F_FF_FF_FF;

/**
Creates a random number generator that is reproducible by seed and name; seed 0 takes a random seed from the operating system.
The seed is hashed because similar seeds would give this generator similar first numbers.
*/
export function createRandom(seed: number, name: string): RandomGenerator {
	const effectiveSeed = seed === 0 ? randomInt(maxSeed) : seed;
	const digest = createHash('sha256').update(`${effectiveSeed}:${name}`).digest();
	return xoroshiro128plus(digest.readInt32LE());
}
