import {parsePolicy} from './parse-policy.js';
import {policyDigest} from './policy-digest.js';
import {type Policy} from './policy.js';

/** Creates version 1 from an operator's document, which has no version and no history; throws `policy-invalid`. */
export function makeFirstPolicy(document: unknown, acceptedAtMs: number): Policy {
	const policy = parsePolicy({version: 1, ...document as Record<string, unknown>, recentPatches: []});
	const digest = policyDigest({...policy, version: 1});
	return parsePolicy({
		...policy,
		version: 1,
		recentPatches: [{
			patchId: `first-${digest}`, version: 1, acceptedAtMs, digest,
		}],
	});
}
