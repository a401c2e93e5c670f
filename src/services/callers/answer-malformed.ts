import {STATUS_CODES} from 'node:http';
import {type Duplex} from 'node:stream';
import {errorAnswers} from '../../base/error-answers.js';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';

/**
Answers a malformed HTTP request and closes the connection.

Sends no answer while an earlier request on the connection is running, since the client would take it for the answer to that request.
*/
export function answerMalformed(socket: Duplex, isRunning: boolean, kind = ErrorKind.BadRequest): void {
	if (isRunning || !socket.writable) {
		socket.destroy();
		return;
	}

	const {status, title} = errorAnswers[kind];
	const body = JSON.stringify({
		type: `urn:kumquatline:error:${kind}`, title, status, detail: 'the bytes are not a complete HTTP request',
		kind, execution: Execution.NotRun, started: false,
	});
	socket.end([
		`HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
		'connection: close',
		'content-type: application/problem+json',
		`content-length: ${new TextEncoder().encode(body).length}`,
		'',
		body,
	].join('\r\n'));
}
