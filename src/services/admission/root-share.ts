import {crc32} from 'node:zlib';

const range = 2 ** 32;

/** Place of a root id between 0 and 1: the same at every hop, so that all hops refuse the same requests. */
export function rootShare(rootId: string): number {
	return crc32(rootId) / range;
}
