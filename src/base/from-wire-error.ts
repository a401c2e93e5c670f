import {KumquatlineError} from './kumquatline-error.js';
import {type WireError} from './wire-error.js';

/** Converts an error received from another process back into a `KumquatlineError`. */
export function fromWireError(error: WireError): KumquatlineError {
	return new KumquatlineError(error.kind, error.message, error);
}
