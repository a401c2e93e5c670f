import {crc32} from 'node:zlib';

const range = 2 ** 32;

/** Position of a root request between 0 and 1; it is the same at every node, so that all nodes refuse the same requests. */
export function rootShare(rootId: string): number {
	return crc32(rootId) / range;
}
