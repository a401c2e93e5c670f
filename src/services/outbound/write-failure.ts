import {type ServerResponse} from 'node:http';
import {errorAnswers} from '../../base/error-answers.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type KumquatlineError} from '../../base/kumquatline-error.js';

const unavailableStatus = 503;
const badGatewayStatus = 502;
/** Lower statuses blame the caller, which is wrong for any failure while the request is relayed. */
const firstServerErrorStatus = 500;
/** Delay before a retry if the failure suggests none: nodes detect failed members within about a second. */
const defaultRetryMs = 500;
const msPerSecond = 1000;
/** Statuses that tell a caller that its request was not executed and never will be. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Errors of the caller itself: their status is kept, whether or not the request was executed. */
const callerErrorKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.BadRequest, ErrorKind.RouteUnknown, ErrorKind.BodyTooLarge, ErrorKind.RequestTimeout,
]);

/** The status for a failure. Statuses that mean "not executed" are used only if that is certain. */
export function statusOf({kind, started}: KumquatlineError): number {
	if (callerErrorKinds.has(kind)) {
		return errorAnswers[kind].status;
	}

	if (started === false) {
		return unavailableStatus;
	}

	const {status} = errorAnswers[kind];
	return status < firstServerErrorStatus || notExecutedStatuses.has(status) ? badGatewayStatus : status;
}

/** Answers with a failure, including the delay before a retry if the request was not executed. */
export function writeFailure(response: ServerResponse, failure: KumquatlineError): void {
	const status = statusOf(failure);
	const body = JSON.stringify({kind: failure.kind, error: errorAnswers[failure.kind].title});
	const headers: Record<string, string | number> = {'content-type': 'application/json', 'content-length': new TextEncoder().encode(body).length};
	if (status === unavailableStatus) {
		headers['retry-after'] = ((failure.retryAfterMs ?? defaultRetryMs) / msPerSecond).toFixed(3);
	}

	response.writeHead(status, headers);
	response.end(body);
}
