import {type CallerOperation} from './caller-operation.js';
import {type LoadPhase} from './load-phase.js';

/** Load that a caller stand-in generates. */
export type CallerOptions = {
	/** Base URLs of nodes; each attempt is sent to a random one. */
	readonly nodeUrls: readonly string[];
	readonly operations: readonly CallerOperation[];
	readonly phases: readonly LoadPhase[];
	/** Maximum number of requests. */
	readonly maxRequests: number;
	/** Simulated network latency between the caller and a node, in each direction. */
	readonly oneWayDelayMs: number;
	/** Timeout of a request with all its attempts. */
	readonly patienceMs: number;
	/** Timeout of one attempt; the next is sent after it. */
	readonly attemptTimeoutMs: number;
	readonly maxAttempts: number;
	/** Delay between attempts. */
	readonly retryDelayMs: number;
	readonly seed: number;
};
