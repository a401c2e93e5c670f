import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {type WireError} from '../../base/wire-error.js';
import {type OwnReply} from './own-reply.js';

/** The replies of an owner that carry no answer. */
export const ownReplies = {
	left: {
		failure: {kind: ErrorKind.CallerGone, message: 'the attempt ended while the id was running', execution: Execution.Unknown},
	} satisfies OwnReply,

	completed: {
		failure: {
			kind: ErrorKind.OutcomeUnknown, message: 'the call was completed but its answer is no longer kept', execution: Execution.Completed, started: false,
		},
	} satisfies OwnReply,

	forged: {
		failure: {
			kind: ErrorKind.KeyInvalid, message: 'the id was not reserved here', execution: Execution.NotRun, started: false,
		},
	} satisfies OwnReply,

	/** The id may have run: by this attempt, which ended with `cause`, or before. */
	unknown(cause?: WireError): OwnReply {
		const message = cause ? `it may have run: ${cause.message}` : 'it may have run before';
		return {
			failure: {
				kind: ErrorKind.OutcomeUnknown, message, execution: Execution.Unknown, started: cause ? cause.started : false,
			},
		};
	},

	/** The attempt started nothing. */
	refusal(kind: ErrorKind, message: string, execution: Execution, retryAfterMs?: number): OwnReply {
		return {
			failure: {
				kind, message, execution, started: false, retryAfterMs,
			},
		};
	},
};
