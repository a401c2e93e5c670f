import {parseReservedId} from './parse-reserved-id.js';

const timeOrderedPattern = /^(?<high>[\da-f]{8})-(?<low>[\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;
const hexadecimal = 16;

/** Timestamp of a time-ordered id (UUIDv7, RFC 9562), or of the one in a reserved id, in milliseconds since 1970; undefined for other ids. */
export function mintedAtMs(requestId: string): number | undefined {
	const uuid = parseReservedId(requestId)?.uuid ?? requestId;
	const groups = timeOrderedPattern.exec(uuid)?.groups;
	return groups && Number.parseInt(`${groups.high}${groups.low}`, hexadecimal);
}
