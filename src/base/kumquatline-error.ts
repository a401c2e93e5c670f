import {type ErrorKind} from './error-kind.js';
import {type Execution} from './execution.js';

type ErrorFacts = {
	/** What is known of the request id as a whole. */
	execution?: Execution;
	/** Whether this attempt started anything; undefined when that is not known. */
	started?: boolean;
	/** When a new attempt is worth making, in milliseconds from now. */
	retryAfterMs?: number;
	cause?: unknown;
};

/** The one error class that crosses service borders; `kind` decides the answer. */
export class KumquatlineError extends Error {
	override readonly name = 'KumquatlineError';
	readonly execution?: Execution;
	readonly started?: boolean;
	readonly retryAfterMs?: number;

	constructor(readonly kind: ErrorKind, message: string, facts: ErrorFacts = {}) {
		super(message, {cause: facts.cause});
		this.execution = facts.execution;
		this.started = facts.started;
		this.retryAfterMs = facts.retryAfterMs;
	}
}
