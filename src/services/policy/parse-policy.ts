import {ErrorKind} from '../../base/error-kind.js';
import {checkPolicy} from './check-policy.js';
import {describeIssues} from './describe-issues.js';
import {policyDocument} from './policy-document.js';
import {type Policy} from './policy.js';
import {policyRejection} from './policy-rejection.js';

/** Validates a policy as a whole; throws `policy-invalid` with all problems, one on each line. */
export function parsePolicy(document: unknown): Policy {
	const parsed = policyDocument.safeParse(document);
	const problems = parsed.success ? checkPolicy(parsed.data) : describeIssues(parsed.error);
	if (!parsed.success || problems.length > 0) {
		throw policyRejection(ErrorKind.PolicyInvalid, problems.join('\n'));
	}

	return parsed.data;
}
