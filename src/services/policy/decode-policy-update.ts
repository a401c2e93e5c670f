import {applyPatchRecord} from './apply-patch-record.js';
import {parsePolicy} from './parse-policy.js';
import {policyDigest} from './policy-digest.js';
import {type policyMethod} from './policy-method.js';
import {type Policy} from './policy.js';

type PolicyUpdate = typeof policyMethod.result;

/**
Builds the policy that a peer's update describes; undefined if the update has no newer version.
Throws if the result doesn't match the update's digest, for example because the patches were made for another policy than `known`.
*/
export function decodePolicyUpdate(update: PolicyUpdate, known: Policy | undefined): Policy | undefined {
	if (update.version <= (known?.version ?? 0)) {
		return undefined;
	}

	const policy = known && update.patches ? applyAll(known, update.patches) : parsePolicy(update.policy);
	if (policyDigest(policy) !== update.digest) {
		throw new Error(`version ${update.version} from a peer does not match its digest`);
	}

	return policy;
}

function applyAll(known: Policy, patches: NonNullable<PolicyUpdate['patches']>): Policy {
	let policy = known;
	for (const record of patches) {
		policy = applyPatchRecord(policy, record);
	}

	return policy;
}
