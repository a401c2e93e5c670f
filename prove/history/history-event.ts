import {type Execution} from '../../src/base/execution.js';
import {type EventKind} from './event-kind.js';

/** One event of a concurrent run; all of a run's processes share the wall clock of one machine. */
export type HistoryEvent = {
	readonly kind: EventKind;
	readonly atMs: number;
	/** Caller's request id, or the derived id of an inner call. */
	readonly requestId?: string;
	/** Trace of the caller's request; inner calls have the same one. */
	readonly traceId?: string;
	readonly idempotent?: boolean;
	/** Node that received the attempt, or the node on whose VM the execution took place. */
	readonly nodeId?: string;
	readonly service?: string;
	/** Attempt of the caller that an answer belongs to. */
	readonly attemptId?: string;
	readonly status?: number;
	readonly errorKind?: string;
	readonly execution?: Execution;
	readonly started?: boolean;
	/** Mark of the request; its answer has to carry the same mark. */
	readonly mark?: string;
	readonly answerMark?: string;
	/** Digest of the complete answer. */
	readonly answerDigest?: string;
	/** Kind of a fault. */
	readonly fault?: string;
};
