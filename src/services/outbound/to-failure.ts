import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';

/** The failure to answer a request with; requests that a stopping node ends itself fail like those of callers that leave. */
export function toFailure(error: unknown, isAbandoning: boolean): KumquatlineError {
	if (!(error instanceof KumquatlineError)) {
		return new KumquatlineError(ErrorKind.Internal, 'unexpected error while handling the request', {cause: error});
	}

	if (isAbandoning && error.kind === ErrorKind.CallerGone) {
		return new KumquatlineError(error.started === false ? ErrorKind.Draining : ErrorKind.OutcomeUnknown, 'the node stopped before the request ended', {
			started: error.started, cause: error,
		});
	}

	return error;
}
