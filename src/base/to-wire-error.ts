import {ErrorKind} from './error-kind.js';
import {KumquatlineError} from './kumquatline-error.js';
import {type WireError} from './wire-error.js';

/** Turns whatever was thrown into an error that can travel; unforeseen ones become `internal`. */
export function toWireError(error: unknown): WireError {
	if (error instanceof KumquatlineError) {
		const {kind, message, execution, started, retryAfterMs} = error;
		return {
			kind, message, execution, started, retryAfterMs,
		};
	}

	return {kind: ErrorKind.Internal, message: error instanceof Error ? error.message : String(error)};
}
