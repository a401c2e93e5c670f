import {policyDigest} from './policy-digest.js';
import {type policyMethod} from './policy-method.js';
import {type Policy} from './policy.js';

/** Creates the update from a peer's version: the patches if the policy still has all of them, otherwise the complete policy. */
export function encodePolicyUpdate(policy: Policy | undefined, modRevision: number, knownVersion: number): typeof policyMethod.result {
	if (!policy || policy.version <= knownVersion) {
		return {version: policy?.version ?? 0, modRevision};
	}

	const {version} = policy;
	const patches = policy.recentPatches.filter(record => record.version > knownVersion);
	const isComplete = knownVersion > 0
		&& patches.length === version - knownVersion
		&& patches.every(record => record.operations !== undefined);
	const digest = policyDigest(policy);
	return isComplete
		? {
			version, modRevision, digest, patches,
		}
		: {
			version, modRevision, digest, policy,
		};
}
