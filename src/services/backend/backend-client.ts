import {Buffer} from 'node:buffer';
import {Pool, type Dispatcher} from 'undici';
import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {encodeBody} from '../callers/encode-body.js';
import {endToEndHeaders} from '../callers/end-to-end-headers.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {type BackendAnnouncement} from '../membership/backend-announcement.js';
import {BackendHeader} from './backend-header.js';

const connectTimeoutMs = 1000;
const msPerSecond = 1000;
const shedStatus = 503;
/** Codes of errors before any byte of a request was sent. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** HTTP to the backend server at one loopback port; takes answers whole. */
export class BackendClient implements Disposable {
	readonly port: number;
	private readonly pool: Pool;

	constructor({port, connections}: BackendAnnouncement) {
		this.port = port;
		this.pool = new Pool(`http://127.0.0.1:${port}`, {
			connections, connectTimeout: connectTimeoutMs, headersTimeout: 0, bodyTimeout: 0,
		});
	}

	async send(request: CallRequest, ownHeaders: Readonly<Record<string, string>>, maxAnswerBytes: number, signal: AbortSignal): Promise<CallAnswer> {
		try {
			const response = await this.pool.request({
				method: request.method,
				path: request.target,
				headers: {...request.headers, ...ownHeaders},
				body: request.bodyBase64 === '' ? undefined : Buffer.from(request.bodyBase64, 'base64'),
				signal,
			});
			const body = await readAnswer(response, maxAnswerBytes);
			return toAnswer(response, body);
		} catch (error) {
			throw toKumquatlineError(error);
		}
	}

	/** Lets running requests end; takes no others. */
	dispose(): void {
		void this.pool.close();
	}
}

async function readAnswer(response: Dispatcher.ResponseData, maxAnswerBytes: number): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let sizeBytes = 0;
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		sizeBytes += chunk.length;
		if (sizeBytes > maxAnswerBytes) {
			throw new KumquatlineError(ErrorKind.AnswerTooLarge, `the answer is larger than ${maxAnswerBytes} bytes`, {started: true});
		}

		chunks.push(chunk);
	}

	return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

function toAnswer(response: Dispatcher.ResponseData, body: Uint8Array): CallAnswer {
	if (response.statusCode === shedStatus) {
		throw shedError(response);
	}

	return {status: response.statusCode, headers: endToEndHeaders(response.headers), bodyBase64: encodeBody(body)};
}

function shedError({headers}: Dispatcher.ResponseData): KumquatlineError {
	const retryAfterSeconds = Number(headers['retry-after']);
	return new KumquatlineError(ErrorKind.BackendShed, 'the backend server shed the request', {
		started: headers[BackendHeader.Started] === 'no' ? false : undefined,
		retryAfterMs: Number.isFinite(retryAfterSeconds) ? retryAfterSeconds * msPerSecond : undefined,
	});
}

function toKumquatlineError(error: unknown): KumquatlineError {
	if (error instanceof KumquatlineError) {
		return error;
	}

	const {code} = error as {code?: string};
	if (code !== undefined && connectErrorCodes.has(code)) {
		return new KumquatlineError(ErrorKind.BackendUnreachable, 'the backend server takes no connection', {started: false, cause: error});
	}

	return new KumquatlineError(ErrorKind.BackendFailed, 'the backend server did not answer whole', {cause: error});
}
