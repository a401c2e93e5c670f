import {type WireError} from '../../base/wire-error.js';

/** How a call ended at the receiver: a result or an error. */
export type CallOutcome =
	| {readonly result: unknown; readonly error?: undefined}
	| {readonly error: WireError};
