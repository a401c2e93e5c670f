import {type ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';

/** The error of a change of policy that was not accepted and won't be. */
export function policyRefusal(kind: ErrorKind.PolicyConflict | ErrorKind.PolicyInvalid | ErrorKind.PolicyUnknown, message: string): KumquatlineError {
	return new KumquatlineError(kind, message, {execution: Execution.NotRun, started: false});
}
