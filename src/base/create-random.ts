import {createHash, randomInt} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

const maxSeed = 0x7F_FF_FF_FF;

/**
Random numbers that a seed and a name reproduce; 0 takes a seed from the operating system.
The seed is hashed because the generator's first numbers hardly differ for seeds that are near each other.
*/
export function createRandom(seed: number, name: string): RandomGenerator {
	const base = seed === 0 ? randomInt(maxSeed) : seed;
	const digest = createHash('sha256').update(`${base}:${name}`).digest();
	return xoroshiro128plus(digest.readInt32LE());
}
