import {createHash} from 'node:crypto';

/** Digest of a JSON value; equal for equal values whose keys are in one order. */
export function policyDigest(value: unknown): string {
	return createHash('sha256').update(JSON.stringify(value)).digest('base64url');
}
