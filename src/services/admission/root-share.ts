import {crc32} from 'node:zlib';

const range = 2 ** 32;

/** Maps a root id to a number from 0 to below 1; it is the same at every hop, so that all hops refuse the same requests. */
export function rootShare(rootId: string): number {
	return crc32(rootId) / range;
}
