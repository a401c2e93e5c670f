import {createHash} from 'node:crypto';

/** Digest of a JSON value; equal values have the same digest if their keys are in the same order. */
export function policyDigest(value: unknown): string {
	return createHash('sha256').update(JSON.stringify(value)).digest('base64url');
}
