import {type ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';

/** Error for a policy change that was definitely rejected. */
export function policyRejection(kind: ErrorKind.PolicyConflict | ErrorKind.PolicyInvalid | ErrorKind.PolicyUnknown, message: string): KumquatlineError {
	return new KumquatlineError(kind, message, {execution: Execution.NotRun, started: false});
}
