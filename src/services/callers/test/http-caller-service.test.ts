import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {Deferred} from '../../../base/deferred.js';
import {startEdge, testPolicy} from './edge-fixture.js';

const echo = (request: IncomingMessage, response: ServerResponse) => {
	response.setHeader('connection', 'keep-alive');
	response.end(JSON.stringify({method: request.method, url: request.url, requestId: request.headers['kumquatline-request-id']}));
};

test('a read is sent to the backend server and its complete answer is returned', async t => {
	const edge = await startEdge(t, echo);
	const response = await fetch(`${edge.callerUrl}/stock/7?size=2`);
	const requestId = response.headers.get('kumquatline-request-id');
	t.is(response.status, 200);
	t.deepEqual(await response.json(), {method: 'GET', url: '/stock/7?size=2', requestId});
	t.like(edge.log.at(-1), {
		message: 'request ended', requestId, operation: 'read-stock', outcome: 'answered',
	});
	t.like(edge.requests[0], {operation: 'read-stock', context: {caller: 'foreman', depth: 1, rootOwner: {nodeId: 'edge', incarnation: 'incarnation'}}});
});

test('a booking uses the key as its id and the shortest of the timeouts', async t => {
	const edge = await startEdge(t, echo);
	const headers = {'idempotency-key': 'key-1', 'kumquatline-caller': 'truck', 'kumquatline-timeout-ms': '400'};
	const response = await fetch(`${edge.callerUrl}/bookings`, {method: 'POST', body: '{"panel":7}', headers});
	t.is(response.status, 200);
	const [{context, requestId, headers: passed}] = edge.requests;
	t.like({requestId, ...context}, {
		requestId: 'key-1', rootId: 'key-1', rootService: 'hire-desk', caller: 'truck', importance: 'critical',
	});
	t.is(context.deadlineAtMs - context.enteredAtMs, 400);
	t.false('kumquatline-caller' in passed);
});

test('an inner call keeps the root, is one level deeper and gets a derived id', async t => {
	const edge = await startEdge(t, (request, response) => {
		if (request.method === 'POST') {
			void bookAndRead(request, response);
			return;
		}

		echo(request, response);
	});

	async function bookAndRead(request: IncomingMessage, response: ServerResponse) {
		const headers = {'kumquatline-context': String(request.headers['kumquatline-context'])};
		const inner = await fetch(`${edge.backendUrl}/stock/1`, {headers});
		response.end(await inner.text());
	}

	const response = await fetch(`${edge.callerUrl}/bookings`, {method: 'POST', headers: {'idempotency-key': 'key-2'}});
	t.like(await response.json(), {method: 'GET', url: '/stock/1'});
	const [parent, child] = edge.requests;
	t.like(child.context, {
		rootId: 'key-2', rootService: 'hire-desk', depth: 2, importance: 'critical',
	});
	t.not(child.requestId, 'key-2');
	t.true(child.context.deadlineAtMs <= parent.context.deadlineAtMs);
});

// Guards against LOST: a closing service closed connections whose answer was handed to the socket but not yet sent.
test('a closing service sends the whole of an answer that its caller reads slowly', async t => {
	const answerBytes = 16_000_000;
	const edge = await startEdge(t, (_request, response) => {
		response.end(Buffer.alloc(answerBytes, 'x'));
	}, {...testPolicy, maxAnswerBytes: answerBytes});
	const socket = connect(edge.callers.port, '127.0.0.1');
	let receivedBytes = 0;
	socket.on('data', bytes => {
		receivedBytes += bytes.length;
	});
	socket.write('GET /stock/7 HTTP/1.1\r\nhost: h\r\n\r\n');
	await once(socket, 'data');
	socket.pause();
	const closed = edge.callers.close();
	await sleep(500);
	socket.resume();
	await closed;
	await once(socket, 'close');
	t.true(receivedBytes > answerBytes, `${receivedBytes} bytes`);
});

test('a closing service finishes running requests, refuses new ones on open connections and then closes the connections', async t => {
	const [started, gate] = [new Deferred<void>(), new Deferred<void>()];
	const edge = await startEdge(t, async (_request, response) => {
		started.resolve();
		await gate.promise;
		response.end('whole');
	});
	const running = fetch(`${edge.callerUrl}/stock/7`);
	await started.promise;
	const closed = edge.callers.close();
	const refused = await fetch(`${edge.callerUrl}/stock/8`);
	t.like(await refused.json(), {kind: 'draining', started: false});
	t.is(refused.headers.get('connection'), 'close');
	gate.resolve();
	const response = await running;
	t.is(await response.text(), 'whole');
	t.is(response.headers.get('connection'), 'close');
	await closed;
	await t.throwsAsync(fetch(`${edge.callerUrl}/stock/7`));
});

test('an answer without content and one with several cookies arrive unchanged', async t => {
	const edge = await startEdge(t, (request, response) => {
		response.writeHead(request.url === '/stock/0' ? 204 : 200, {'set-cookie': ['a=1', 'b=2']}).end();
	});
	const empty = await fetch(`${edge.callerUrl}/stock/0`);
	t.is(empty.status, 204);
	t.is(empty.headers.get('content-length'), null);
	const cookies = await fetch(`${edge.callerUrl}/stock/1`);
	t.deepEqual(cookies.headers.getSetCookie(), ['a=1', 'b=2']);
});
