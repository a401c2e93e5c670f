import {connect} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import test from 'ava';
import {startEdge} from './edge-fixture.js';

type BadRequest = {
	readonly name: string;
	readonly method?: string;
	readonly path?: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
};

const key = {'idempotency-key': 'key-1'};
const book = {method: 'POST', path: '/bookings'};

const badRequests: readonly BadRequest[] = [
	{name: 'a missing key for an operation that is not idempotent', ...book, body: '{}'},
	{name: 'an empty key', ...book, headers: {'idempotency-key': ''}},
	{name: 'a key with a space', ...book, headers: {'idempotency-key': 'a b'}},
	{name: 'a key that is too long', ...book, headers: {'idempotency-key': 'k'.repeat(129)}},
	{name: 'an unknown route', path: '/nowhere'},
	{
		name: 'a known path with another method', method: 'DELETE', path: '/bookings', headers: key,
	},
	{name: 'an unknown caller', headers: {'kumquatline-caller': 'nobody'}},
	{name: 'a timeout of zero', headers: {'kumquatline-timeout-ms': '0'}},
	{name: 'a timeout that is not a number', headers: {'kumquatline-timeout-ms': 'soon'}},
	{name: 'a negative timeout', headers: {'kumquatline-timeout-ms': '-5'}},
	{
		name: 'a body that is too large', ...book, headers: key, body: 'x'.repeat(1001),
	},
	{
		name: 'a request for too many ids', method: 'POST', path: '/kumquatline/ids', body: '{"count":100000}',
	},
	{
		name: 'a request for ids that is not JSON', method: 'POST', path: '/kumquatline/ids', body: '{',
	},
];

const answered = (text: string) => text.replaceAll(/[\da-f]{8}-[\da-f\-]{27}/gv, '<uuid>');

for (const {name, method = 'GET', path = '/stock/7', headers, body} of badRequests) {
	test(`${name} is answered with a specific error and executes nothing`, async t => {
		const edge = await startEdge(t, (_request, response) => {
			response.end();
		});
		const response = await fetch(`${edge.callerUrl}${path}`, {method, headers, body});
		t.snapshot({
			status: response.status,
			type: response.headers.get('content-type'),
			body: JSON.parse(answered(await response.text())) as unknown,
		});
		t.deepEqual(edge.requests, []);
	});
}

/** Raw bytes that are sent to the caller port, with the expected status line. */
const rawRequests = [
	{name: 'an incomplete request line', bytes: 'GET /sto', answer: 'HTTP/1.1 400 Bad Request'},
	{name: 'an incomplete body', bytes: 'POST /bookings HTTP/1.1\r\nhost: a\r\nidempotency-key: k\r\ncontent-length: 100\r\n\r\n{"a"', answer: 'HTTP/1.1 400 Bad Request'},
	{name: 'a malformed header', bytes: 'GET /stock/7 HTTP/1.1\r\nhost a\r\n\r\n', answer: 'HTTP/1.1 400 Bad Request'},
	{name: 'a malformed chunk', bytes: 'POST /bookings HTTP/1.1\r\nhost: a\r\nidempotency-key: k\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n', answer: 'HTTP/1.1 400 Bad Request'},
];

for (const {name, bytes, answer} of rawRequests) {
	test(`${name} executes nothing and the node keeps serving`, async t => {
		const edge = await startEdge(t, (_request, response) => {
			response.end('fine');
		});
		const socket = connect(edge.callers.port, '127.0.0.1');
		socket.end(bytes);
		const received = await readText(socket);
		t.is(received.split('\r\n')[0], answer);
		t.deepEqual(edge.requests, []);
		const next = await fetch(`${edge.callerUrl}/stock/7`);
		t.is(await next.text(), 'fine');
	});
}

test('malformed bytes after a running request are not answered in its place', async t => {
	const edge = await startEdge(t, (_request, response) => {
		socket.write('no HTTP\r\n\r\n');
		setTimeout(() => {
			response.end('late');
		}, 100);
	});
	const socket = connect(edge.callers.port, '127.0.0.1');
	socket.write('GET /stock/7 HTTP/1.1\r\nhost: a\r\n\r\n');
	t.is(await readText(socket), '');
	t.is(edge.requests.length, 1);
});

test('an inner call with a forged context is refused and not executed', async t => {
	const edge = await startEdge(t, (_request, response) => {
		response.end();
	});
	const response = await fetch(`${edge.backendUrl}/stock/7`, {headers: {'kumquatline-context': 'forged'}});
	t.snapshot({status: response.status, body: await response.json()});
	t.deepEqual(edge.requests, []);
});

test('the context of a call that has ended is refused', async t => {
	let context = '';
	const edge = await startEdge(t, (request, response) => {
		context = String(request.headers['kumquatline-context']);
		response.end();
	});
	await fetch(`${edge.callerUrl}/stock/7`);
	const response = await fetch(`${edge.backendUrl}/stock/7`, {headers: {'kumquatline-context': context}});
	t.like(await response.json(), {kind: 'context-unknown', started: false});
	t.is(edge.requests.length, 1);
});

test('a request of the backend server without a context is a root request', async t => {
	const edge = await startEdge(t, (_request, response) => {
		response.end();
	});
	const refused = await fetch(`${edge.backendUrl}/bookings`, {method: 'POST'});
	t.like(await refused.json(), {kind: 'key-required'});
	const accepted = await fetch(`${edge.backendUrl}/bookings`, {method: 'POST', headers: key});
	t.is(accepted.status, 200);
	t.like(edge.requests[0].context, {rootId: 'key-1', depth: 1});
});

test('a malformed announcement changes nothing', async t => {
	const edge = await startEdge(t, (_request, response) => {
		response.end();
	});
	const before = edge.backend.announcement;
	const response = await fetch(`${edge.backendUrl}/announce`, {method: 'POST', body: '{"service":"hire-desk","port":0}'});
	t.like(await response.json(), {status: 400, kind: 'bad-request'});
	t.is(edge.backend.announcement, before);
});
