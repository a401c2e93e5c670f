import {type ServerResponse} from 'node:http';

/** Answers with status 200 and a JSON document. */
export function writeJson(response: ServerResponse, value: unknown): void {
	const body = JSON.stringify(value);
	response.writeHead(200, {'content-type': 'application/json', 'content-length': new TextEncoder().encode(body).length});
	response.end(body);
}
