import {type ReservedId} from './reserved-id.js';

const pattern = /^(?<minted>(?<uuid>[\da-f]{8}(?:-[\da-f]{4}){3}-[\da-f]{12})\.(?<incarnation>[\w\-]+)\.(?<tag>[\w\-]{22}))(?:~[\da-f]{32})?$/v;

/** Parses a reserved id without verifying its tag; undefined for other ids. */
export function parseReservedId(requestId: string): ReservedId | undefined {
	return pattern.exec(requestId)?.groups as ReservedId | undefined;
}
