import {type ServerResponse} from 'node:http';
import {type CallAnswer} from './call-answer.js';

/** An answer with this status has no body and no content-length (RFC 9110, 8.6). */
const noContentStatus = 204;

/** Sends a complete answer. */
export function writeAnswer(response: ServerResponse, answer: CallAnswer): void {
	const {body} = answer;
	const headers: Record<string, string | string[]> = {...answer.headers};
	if (answer.status !== noContentStatus) {
		headers['content-length'] = String(body.length);
	}

	if (typeof headers['set-cookie'] === 'string') {
		headers['set-cookie'] = headers['set-cookie'].split('\n');
	}

	response.writeHead(answer.status, headers);
	response.end(body);
}
