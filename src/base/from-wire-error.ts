import {KumquatlineError} from './kumquatline-error.js';
import {type WireError} from './wire-error.js';

/** Restores an error received from another process. */
export function fromWireError(error: WireError): KumquatlineError {
	return new KumquatlineError(error.kind, error.message, error);
}
