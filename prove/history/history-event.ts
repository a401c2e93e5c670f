import {type Execution} from '../../src/base/execution.js';
import {type EventKind} from './event-kind.js';

/** One event of a concurrent run; all of a run's processes share the wall clock of one machine. */
export type HistoryEvent = {
	readonly kind: EventKind;
	readonly atMs: number;
	/** Caller's request id, or the derived id of a sub-call. */
	readonly requestId?: string;
	/** Trace that the caller's request began; sub-calls carry it on. */
	readonly traceId?: string;
	readonly idempotent?: boolean;
	/** Node that was asked, or on whose VM the execution was. */
	readonly nodeId?: string;
	readonly service?: string;
	/** Attempt of the caller that an answer belongs to. */
	readonly attemptId?: string;
	readonly status?: number;
	readonly errorKind?: string;
	readonly execution?: Execution;
	readonly started?: boolean;
	/** Mark of the request that an answer has to carry. */
	readonly mark?: string;
	readonly answerMark?: string;
	/** Digest of the whole answer. */
	readonly answerDigest?: string;
	/** Kind of a fault. */
	readonly fault?: string;
};
