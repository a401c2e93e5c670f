import {makeFirstPolicy} from './make-first-policy.js';
import {type PolicyPatch, type PolicyService} from './policy-service.js';

type Preview = {
	/** Version that the change would create. */
	readonly version: number;
	/** The policy that the change would create, without its history. */
	readonly policy: unknown;
};

/** Validates a patch against the policy in force, or a complete document as the first policy, without changing anything. */
export function previewPolicy(policyService: PolicyService, change: unknown): Preview {
	const isPatch = typeof change === 'object' && change !== null && 'baseVersion' in change;
	const policy = isPatch ? policyService.preview(change as PolicyPatch) : makeFirstPolicy(change, Date.now());
	const {recentPatches, version, ...document} = policy;
	return {version, policy: {version, ...document}};
}
