import {applyPatchRecord} from './apply-patch-record.js';
import {parsePolicy} from './parse-policy.js';
import {policyDigest} from './policy-digest.js';
import {type policyMethod} from './policy-method.js';
import {type Policy} from './policy.js';

type PolicyNews = typeof policyMethod.result;

/**
Builds the policy that a peer's update describes; undefined if the update has no newer version.
Throws if the result doesn't match the update's digest, for example because the patches were made for another policy than `known`.
*/
export function decodePolicyNews(news: PolicyNews, known: Policy | undefined): Policy | undefined {
	if (news.version <= (known?.version ?? 0)) {
		return undefined;
	}

	const policy = known && news.patches ? applyAll(known, news.patches) : parsePolicy(news.policy);
	if (policyDigest(policy) !== news.digest) {
		throw new Error(`version ${news.version} from a peer does not match its digest`);
	}

	return policy;
}

function applyAll(known: Policy, patches: NonNullable<PolicyNews['patches']>): Policy {
	let policy = known;
	for (const record of patches) {
		policy = applyPatchRecord(policy, record);
	}

	return policy;
}
