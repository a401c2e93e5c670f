import {type CallerOperation} from './caller-operation.js';
import {type LoadPhase} from './load-phase.js';

/** Load of a caller stand-in. */
export type CallerOptions = {
	/** Base URLs of nodes, taken at random for each attempt. */
	readonly nodeUrls: readonly string[];
	readonly operations: readonly CallerOperation[];
	readonly phases: readonly LoadPhase[];
	/** Requests after which no more are sent. */
	readonly maxRequests: number;
	/** Time that a message takes between the caller and any node. */
	readonly oneWayDelayMs: number;
	/** Time after which a request is given up. */
	readonly patienceMs: number;
	/** Time after which one attempt is cancelled and the next is sent. */
	readonly attemptTimeoutMs: number;
	readonly maxAttempts: number;
	/** Wait between attempts. */
	readonly retryDelayMs: number;
	readonly seed: number;
};
