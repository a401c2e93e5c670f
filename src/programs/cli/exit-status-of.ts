import {type z} from 'zod';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {ExitStatus} from './exit-status.js';
import {type problem} from './problem.js';

const statuses = new Map([
	[ErrorKind.PolicyInvalid, ExitStatus.PolicyInvalid],
	[ErrorKind.PolicyConflict, ExitStatus.PolicyConflict],
	[ErrorKind.PolicyUnknown, ExitStatus.Unavailable],
	[ErrorKind.StoreUnavailable, ExitStatus.Unavailable],
]);

/** Returns the exit status for a refusal or failure reported by a node. */
export function exitStatusOf({kind, execution, started}: z.infer<typeof problem>): ExitStatus {
	if (kind === ErrorKind.StoreUnavailable && execution === Execution.Unknown && started !== false) {
		return ExitStatus.OutcomeUnknown;
	}

	return statuses.get(kind) ?? ExitStatus.Failed;
}
