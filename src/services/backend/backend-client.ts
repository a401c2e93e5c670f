import {Pool} from 'undici';
import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {endToEndHeaders} from '../../runtime/http/end-to-end-headers.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {type BackendAnnouncement} from '../membership/backend-announcement.js';
import {AnswerCollector, type CollectedAnswer} from './answer-collector.js';
import {BackendHeader} from './backend-header.js';

const connectTimeoutMs = 1000;
const msPerSecond = 1000;
const shedStatus = 503;

/** HTTP client for the backend server at one loopback port; accepts only complete answers. */
export class BackendClient implements Disposable {
	readonly port: number;
	private readonly pool: Pool;

	constructor({port, connections}: BackendAnnouncement) {
		this.port = port;
		this.pool = new Pool(`http://127.0.0.1:${port}`, {
			connections, connectTimeout: connectTimeoutMs, headersTimeout: 0, bodyTimeout: 0,
		});
	}

	/** Sends a request as soon as a connection is free; the returned collector provides or abandons its answer. */
	send(request: CallRequest, token: string, maxAnswerBytes: number): AnswerCollector {
		const collector = new AnswerCollector(maxAnswerBytes, token);
		this.pool.dispatch({
			method: request.method,
			path: request.target,
			headers: {
				...request.headers,
				[BackendHeader.Context]: token,
				[BackendHeader.DeadlineMs]: String(Math.max(1, request.context.deadlineAtMs - Date.now())),
				[BackendHeader.RequestId]: request.requestId,
			},
			body: request.body.length === 0 ? undefined : request.body,
		}, collector);
		return collector;
	}

	/** Waits for the complete answer. */
	async receive(collector: AnswerCollector): Promise<CallAnswer> {
		try {
			return toAnswer(await collector.completeAnswer);
		} catch (error) {
			throw toKumquatlineError(error, collector.wasSent);
		}
	}

	/** Finishes running requests and accepts no new ones. */
	dispose(): void {
		void this.pool.close();
	}
}

function toAnswer({status, headers, body}: CollectedAnswer): CallAnswer {
	if (status === shedStatus) {
		throw shedError(headers);
	}

	return {status, headers: endToEndHeaders(headers), body};
}

function shedError(headers: CollectedAnswer['headers']): KumquatlineError {
	const retryAfterSeconds = Number(headers['retry-after']);
	return new KumquatlineError(ErrorKind.BackendShed, 'the backend server shed the request', {
		started: headers[BackendHeader.Started] === 'no' ? false : undefined,
		retryAfterMs: Number.isFinite(retryAfterSeconds) ? retryAfterSeconds * msPerSecond : undefined,
	});
}

function toKumquatlineError(error: unknown, wasSent: boolean): KumquatlineError {
	if (error instanceof KumquatlineError) {
		return error;
	}

	if (!wasSent) {
		return new KumquatlineError(ErrorKind.BackendUnreachable, 'cannot connect to the backend server', {started: false, cause: error});
	}

	return new KumquatlineError(ErrorKind.BackendFailed, 'the request to the backend server failed before its answer was complete', {cause: error});
}
