import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {type WireError} from '../../base/wire-error.js';
import {type OwnerReply} from './owner-reply.js';

/** Replies of an owner that carry no answer. */
export const ownerReplies = {
	left: {
		failure: {kind: ErrorKind.CallerGone, message: 'the attempt ended while the call was being executed', execution: Execution.Unknown},
	} satisfies OwnerReply,

	completed: {
		failure: {
			kind: ErrorKind.OutcomeUnknown, message: 'the call was completed, but its answer is no longer stored', execution: Execution.Completed, started: false,
		},
	} satisfies OwnerReply,

	forged: {
		failure: {
			kind: ErrorKind.KeyInvalid, message: 'the request id was not reserved by this node', execution: Execution.NotRun, started: false,
		},
	} satisfies OwnerReply,

	/** The call may have been executed: by this attempt, which failed with `cause`, or by an earlier one. */
	unknown(cause?: WireError): OwnerReply {
		const message = cause ? `the call may have been executed: ${cause.message}` : 'the call may have been executed for an earlier attempt';
		return {
			failure: {
				kind: ErrorKind.OutcomeUnknown, message, execution: Execution.Unknown, started: cause ? cause.started : false,
			},
		};
	},

	/** The attempt started no execution. */
	refusal(kind: ErrorKind, message: string, execution: Execution, retryAfterMs?: number): OwnerReply {
		return {
			failure: {
				kind, message, execution, started: false, retryAfterMs,
			},
		};
	},
};
