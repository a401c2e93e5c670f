import {type z} from 'zod';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {applyPatchRecord} from './apply-patch-record.js';
import {policyDigest} from './policy-digest.js';
import {type policyPatchSchema} from './policy-patch-schema.js';
import {type Policy} from './policy.js';
import {policyRejection} from './policy-rejection.js';

/** Creates the next version with a patch. Throws `policy-conflict` for another base version, `policy-invalid` or `policy-unknown`. */
export function makePatchedPolicy(base: Policy | undefined, patch: z.infer<typeof policyPatchSchema>, acceptedAtMs: number): Policy {
	const {patchId, baseVersion, operations} = patch;
	if (!base) {
		throw policyRejection(ErrorKind.PolicyUnknown, 'there is no policy yet that could be patched');
	}

	if (base.version !== baseVersion) {
		throw new KumquatlineError(ErrorKind.PolicyConflict, `the patch is based on version ${baseVersion} but version ${base.version} is in force`, {
			execution: isInHistory(base, baseVersion) ? Execution.NotRun : Execution.Unknown, started: false,
		});
	}

	return applyPatchRecord(base, {
		patchId,
		version: baseVersion + 1,
		acceptedAtMs,
		digest: policyDigest({baseVersion, operations}),
		operations,
	});
}

/** Whether the history reaches back to the base version, so that a patch id missing from it was certainly not accepted. */
function isInHistory(policy: Policy, baseVersion: number): boolean {
	return baseVersion > policy.version || policy.recentPatches.some(record => record.version === baseVersion + 1);
}
