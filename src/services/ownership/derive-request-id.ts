import {createHash} from 'node:crypto';
import {stringify} from 'uuid';
import {mintedAtMs} from './minted-at-ms.js';
import {parseReservedId} from './parse-reserved-id.js';

const timestampBytes = 6;
const uuidBytes = 16;
const timeOrderedVersion = 0x70;
const customVersion = 0x80;

/**
Derives the id of an inner call. It is the same each time the parent request is executed, so that a retry of the parent request repeats no work below it.

If the parent request has a time-ordered id, the inner call gets a UUIDv7 with the same timestamp, so that both expire at the same time;
if it has a reserved id, the inner call gets an id of the same owner; otherwise a UUIDv8 (RFC 9562).
`occurrence` numbers identical inner calls of one parent request.
*/
export function deriveRequestId(parentRequestId: string, method: string, target: string, bodyDigest: string, occurrence: number): string {
	const parts = JSON.stringify([parentRequestId, method, target, bodyDigest, occurrence]);
	const digest = createHash('sha256').update(parts).digest().subarray(0, uuidBytes);
	const reserved = parseReservedId(parentRequestId);
	if (reserved) {
		return `${reserved.minted}~${digest.toString('hex')}`;
	}

	const parentMintedAtMs = mintedAtMs(parentRequestId);
	if (parentMintedAtMs === undefined) {
		return toUuid(digest, customVersion);
	}

	digest.writeUIntBE(parentMintedAtMs, 0, timestampBytes);
	return toUuid(digest, timeOrderedVersion);
}

/** Formats bytes as a UUID after setting its version and variant bits. */
function toUuid(bytes: Uint8Array, version: number): string {
	bytes[6] = (bytes[6] & 0x0F) | version; // eslint-disable-line no-bitwise
	bytes[8] = (bytes[8] & 0x3F) | 0x80; // eslint-disable-line no-bitwise
	return stringify(bytes);
}
