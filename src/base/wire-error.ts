import {type ErrorKind} from './error-kind.js';
import {type Execution} from './execution.js';

/** A `KumquatlineError` as it is sent between processes. */
export type WireError = {
	readonly kind: ErrorKind;
	readonly message: string;
	readonly execution?: Execution;
	readonly started?: boolean;
	readonly retryAfterMs?: number;
};
