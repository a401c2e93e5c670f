import {type ServerResponse} from 'node:http';
import {errorAnswers} from '../../base/error-answers.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type KumquatlineError} from '../../base/kumquatline-error.js';

const unavailableStatus = 503;
const badGatewayStatus = 502;
/** Statuses below blame the caller, which no failure on the way does. */
const firstServerFailureStatus = 500;
/** When to come back where nothing more is known: nodes find out who is gone within a second or so. */
const usualRetryMs = 500;
const msPerSecond = 1000;
/** Statuses by which a caller understands that its request has not run and never will. */
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Kinds that are the caller's own doing: their status stays, run or not. */
const callersKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.BadRequest, ErrorKind.RouteUnknown, ErrorKind.BodyTooLarge, ErrorKind.RequestTimeout,
]);

/** The status for a failure: a refusal that promises "not run" only where that is certain. */
export function statusOf({kind, started}: KumquatlineError): number {
	if (callersKinds.has(kind)) {
		return errorAnswers[kind].status;
	}

	if (started === false) {
		return unavailableStatus;
	}

	const {status} = errorAnswers[kind];
	return status < firstServerFailureStatus || promisingStatuses.has(status) ? badGatewayStatus : status;
}

/** Answers a failure, with the time after which a new attempt is worth making where the request has not run. */
export function writeFailure(response: ServerResponse, failure: KumquatlineError): void {
	const status = statusOf(failure);
	const body = JSON.stringify({kind: failure.kind, error: errorAnswers[failure.kind].title});
	const headers: Record<string, string | number> = {'content-type': 'application/json', 'content-length': new TextEncoder().encode(body).length};
	if (status === unavailableStatus) {
		headers['retry-after'] = ((failure.retryAfterMs ?? usualRetryMs) / msPerSecond).toFixed(3);
	}

	response.writeHead(status, headers);
	response.end(body);
}
