import {parseReservedId} from './parse-reserved-id.js';

const timeOrderedPattern = /^(?<high>[\da-f]{8})-(?<low>[\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;
const hexadecimal = 16;

/** Wall clock in milliseconds since 1970 that a time-ordered id (UUIDv7, RFC 9562) carries; undefined for others. */
export function mintedAtMs(requestId: string): number | undefined {
	const uuid = parseReservedId(requestId)?.uuid ?? requestId;
	const groups = timeOrderedPattern.exec(uuid)?.groups;
	return groups && Number.parseInt(`${groups.high}${groups.low}`, hexadecimal);
}
