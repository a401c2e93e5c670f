import {randomFillSync} from 'node:crypto';
import {v7} from 'uuid';

const randomBytes = 16;
const pool = new Uint8Array(randomBytes * 256);
let offset = pool.length;

/** A new UUIDv7; random bytes are drawn for many at once, as each draw costs more than the rest of a call's bookkeeping. */
export function createUuid(): string {
	if (offset === pool.length) {
		randomFillSync(pool);
		offset = 0;
	}

	const random = pool.subarray(offset, offset + randomBytes);
	offset += randomBytes;
	return v7({random});
}
