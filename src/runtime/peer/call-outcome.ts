import {type WireError} from '../../base/wire-error.js';

/** Outcome of a call at the receiver: a result or an error. */
export type CallOutcome =
	| {readonly result: unknown; readonly error?: undefined}
	| {readonly error: WireError};
