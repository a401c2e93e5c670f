import {randomFillSync} from 'node:crypto';
import {v7} from 'uuid';

const randomBytes = 16;
const pool = new Uint8Array(randomBytes * 256);
let offset = pool.length;

/** Creates a UUIDv7. Random bytes are generated for many ids at once, as each generation costs more than the rest of a call's bookkeeping. */
export function createUuid(): string {
	if (offset === pool.length) {
		randomFillSync(pool);
		offset = 0;
	}

	const random = pool.subarray(offset, offset + randomBytes);
	offset += randomBytes;
	return v7({random});
}
