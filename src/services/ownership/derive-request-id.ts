import {createHash} from 'node:crypto';
import {stringify} from 'uuid';
import {mintedAtMs} from './minted-at-ms.js';
import {parseReservedId} from './parse-reserved-id.js';

const timestampBytes = 6;
const uuidBytes = 16;
const timeOrderedVersion = 0x70;
const customVersion = 0x80;

/**
Id of a sub-call, the same whenever its parent runs again, so that a repeated parent repeats no work below it.

The id of a sub-call of a time-ordered id is a UUIDv7 of the same time, so that it is judged by the same age;
that of a reserved id belongs to the same owner; any other is a UUIDv8 (RFC 9562).
`occurrence` counts equal sub-calls of one parent.
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

/** Sets the version and the variant that a UUID needs. */
function toUuid(bytes: Uint8Array, version: number): string {
	bytes[6] = (bytes[6] & 0x0F) | version; // eslint-disable-line no-bitwise
	bytes[8] = (bytes[8] & 0x3F) | 0x80; // eslint-disable-line no-bitwise
	return stringify(bytes);
}
