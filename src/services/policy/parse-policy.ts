import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {checkPolicy} from './check-policy.js';
import {describeIssues} from './describe-issues.js';
import {policyDocument} from './policy-document.js';
import {type Policy} from './policy.js';

/** Validates a policy whole; throws `policy-invalid` with every problem, one a line. */
export function parsePolicy(document: unknown): Policy {
	const parsed = policyDocument.safeParse(document);
	const problems = parsed.success ? checkPolicy(parsed.data) : describeIssues(parsed.error);
	if (!parsed.success || problems.length > 0) {
		throw new KumquatlineError(ErrorKind.PolicyInvalid, problems.join('\n'));
	}

	return parsed.data;
}
