import {ErrorKind} from './error-kind.js';
import {KumquatlineError} from './kumquatline-error.js';
import {type WireError} from './wire-error.js';

/** Converts a thrown value to an error that can be sent to another process; unexpected errors become `internal`. */
export function toWireError(error: unknown): WireError {
	if (error instanceof KumquatlineError) {
		const {kind, message, execution, started, retryAfterMs} = error;
		return {
			kind, message, execution, started, retryAfterMs,
		};
	}

	return {kind: ErrorKind.Internal, message: error instanceof Error ? error.message : String(error)};
}
