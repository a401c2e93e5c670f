import {type z} from 'zod';
import {ErrorKind} from '../../base/error-kind.js';
import {describeIssues} from './describe-issues.js';
import {policyPatchSchema} from './policy-patch-schema.js';
import {policyRejection} from './policy-rejection.js';

/** Validates the format of a submitted patch; throws `policy-invalid` with all problems, one on each line. */
export function parsePatch(patch: unknown): z.infer<typeof policyPatchSchema> {
	const parsed = policyPatchSchema.safeParse(patch);
	if (!parsed.success) {
		throw policyRejection(ErrorKind.PolicyInvalid, describeIssues(parsed.error).join('\n'));
	}

	return parsed.data;
}
