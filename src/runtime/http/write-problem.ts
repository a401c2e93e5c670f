import {type ServerResponse} from 'node:http';
import {errorAnswers} from '../../base/error-answers.js';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';

type RequestIdentity = {
	readonly requestId?: string;
	/** Whether the id was minted for this attempt, so that no other attempt can have executed it. */
	readonly minted: boolean;
};

const msPerSecond = 1000;

/** Answers with an error as problem details (RFC 9457), including what is known about the execution of the request id and about this attempt. */
export function writeProblem(response: ServerResponse, error: unknown, identity?: RequestIdentity): void {
	const failure = asKumquatlineError(error);
	const {status, title} = errorAnswers[failure.kind];
	const body = JSON.stringify({
		type: `urn:kumquatline:error:${failure.kind}`,
		title,
		status,
		detail: failure.message,
		kind: failure.kind,
		execution: failure.execution ?? executionOf(failure, identity),
		started: failure.started,
		requestId: identity?.requestId,
	});
	const headers: Record<string, string | number> = {'content-type': 'application/problem+json', 'content-length': new TextEncoder().encode(body).length};
	if (failure.retryAfterMs !== undefined) {
		headers['retry-after'] = Math.max(1, Math.ceil(failure.retryAfterMs / msPerSecond));
	}

	response.writeHead(status, headers);
	response.end(body);
}

function asKumquatlineError(error: unknown): KumquatlineError {
	return error instanceof KumquatlineError ? error : new KumquatlineError(ErrorKind.Internal, 'unexpected error', {cause: error});
}

/** If other attempts may have used the id, the failure of this attempt alone does not prove that the id was not executed. */
function executionOf(error: KumquatlineError, identity: RequestIdentity | undefined): Execution {
	return error.started === false && (identity?.minted ?? true) ? Execution.NotRun : Execution.Unknown;
}
