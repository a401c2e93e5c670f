import {type ErrorKind} from './error-kind.js';
import {type Execution} from './execution.js';

type ErrorDetails = {
	/** What is known about the execution of the request id, over all attempts. */
	execution?: Execution;
	/** Whether this attempt started any work; undefined if that is not known. */
	started?: boolean;
	/** Time until a retry is worthwhile. */
	retryAfterMs?: number;
	cause?: unknown;
};

/** The only error class that services expose to each other; `kind` determines the answer to the caller. */
export class KumquatlineError extends Error {
	override readonly name = 'KumquatlineError';
	readonly execution?: Execution;
	readonly started?: boolean;
	readonly retryAfterMs?: number;

	constructor(readonly kind: ErrorKind, message: string, details: ErrorDetails = {}) {
		super(message, {cause: details.cause});
		this.execution = details.execution;
		this.started = details.started;
		this.retryAfterMs = details.retryAfterMs;
	}
}
