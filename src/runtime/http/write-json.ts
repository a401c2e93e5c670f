import {type ServerResponse} from 'node:http';

/** Answers 200 with a JSON document. */
export function writeJson(response: ServerResponse, value: unknown): void {
	const body = JSON.stringify(value);
	response.writeHead(200, {'content-type': 'application/json', 'content-length': new TextEncoder().encode(body).length});
	response.end(body);
}
