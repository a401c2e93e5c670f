import {crc32} from 'node:zlib';

const hashRange = 2 ** 32;

/** Position of a root request between 0 and 1; it is the same at every node, so that all nodes refuse the same requests. */
export function rootRank(rootId: string): number {
	return crc32(rootId) / hashRange;
}
