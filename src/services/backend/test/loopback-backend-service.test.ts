import {type RequestListener} from 'node:http';
import test from 'ava';
import {Deferred} from '../../../base/deferred.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {startEdge} from '../../callers/test/edge-fixture.js';

type FailureCase = {
	readonly name: string;
	readonly listener: RequestListener;
	readonly kind: ErrorKind;
	readonly started: boolean | undefined;
};

const failures: readonly FailureCase[] = [
	{
		name: 'an answer that is shorter than its content-length',
		listener(_request, response) {
			response.writeHead(200, {'content-length': '100'});
			response.write('half');
			setTimeout(() => response.destroy(), 20);
		},
		kind: ErrorKind.BackendFailed,
		started: undefined,
	},
	{
		name: 'a truncated chunked answer',
		listener(_request, response) {
			response.write('half');
			setTimeout(() => response.destroy(), 20);
		},
		kind: ErrorKind.BackendFailed,
		started: undefined,
	},
	{
		name: 'an answer that is too large',
		listener(_request, response) {
			response.end('x'.repeat(2001));
		},
		kind: ErrorKind.AnswerTooLarge,
		started: true,
	},
	{
		name: 'a shed request that was not started',
		listener(_request, response) {
			response.writeHead(503, {'kumquatline-started': 'no'}).end();
		},
		kind: ErrorKind.BackendShed,
		started: false,
	},
	{
		name: 'a shed request that may have been started',
		listener(_request, response) {
			response.writeHead(503, {'retry-after': '2'}).end();
		},
		kind: ErrorKind.BackendShed,
		started: undefined,
	},
	{
		name: 'an answer that misses the deadline',
		listener() {/* Never answers. */},
		kind: ErrorKind.DeadlineExceeded,
		started: undefined,
	},
];

/** Makes an inner call whose outcome is ignored. */
async function makeInnerCall(backendUrl: string, context: string): Promise<void> {
	await Promise.allSettled([fetch(`${backendUrl}/stock/1`, {headers: {'kumquatline-context': context}})]);
}

for (const {name, listener, kind, started} of failures) {
	test(`${name} fails with ${kind} and no part of it reaches the caller`, async t => {
		const edge = await startEdge(t, listener);
		const response = await fetch(`${edge.callerUrl}/stock/7`, {headers: {'kumquatline-timeout-ms': '300'}});
		const problem = await response.json() as {kind: string; started?: boolean};
		t.is(problem.kind, kind);
		t.is(problem.started, started);
	});
}

test('a backend server that accepts no connection is unreachable and has not started the request', async t => {
	const edge = await startEdge(t, (_request, response) => {
		response.end();
	});
	await fetch(`${edge.backendUrl}/announce`, {
		method: 'POST', body: JSON.stringify({
			service: 'hire-desk', port: 1, slots: 1, connections: 1, state: 'serving',
		}),
	});
	const response = await fetch(`${edge.callerUrl}/stock/7`);
	t.like(await response.json(), {kind: ErrorKind.BackendUnreachable, started: false, execution: 'not-run'});
});

test('a caller that disconnects cancels its call and the inner calls', async t => {
	const [outerClosed, innerClosed, innerStarted] = [new Deferred<void>(), new Deferred<void>(), new Deferred<void>()];
	const edge = await startEdge(t, (request, response) => {
		if (request.method === 'GET') {
			innerStarted.resolve();
			response.once('close', innerClosed.resolve);
			return;
		}

		response.once('close', outerClosed.resolve);
		void makeInnerCall(edge.backendUrl, String(request.headers['kumquatline-context']));
	});
	const controller = new AbortController();
	const call = fetch(`${edge.callerUrl}/bookings`, {method: 'POST', headers: {'idempotency-key': 'k'}, signal: controller.signal});
	await innerStarted.promise;
	controller.abort();
	await t.throwsAsync(call, {any: true});
	await Promise.all([outerClosed.promise, innerClosed.promise]);
	t.pass();
});

test('a call that ends early also ends its inner calls', async t => {
	const innerClosed = new Deferred<void>();
	const edge = await startEdge(t, (request, response) => {
		if (request.method === 'GET') {
			response.once('close', innerClosed.resolve);
			return;
		}

		void makeInnerCall(edge.backendUrl, String(request.headers['kumquatline-context']));
		setTimeout(() => {
			response.end('early');
		}, 100);
	});
	const response = await fetch(`${edge.callerUrl}/bookings`, {method: 'POST', headers: {'idempotency-key': 'k'}});
	t.is(await response.text(), 'early');
	await innerClosed.promise;
});

test('the announcement of the backend server is kept, and its changes and its end are reported', async t => {
	const edge = await startEdge(t, (_request, response) => {
		response.end();
	});
	t.like(edge.backend.announcement, {service: 'hire-desk', slots: 4, draining: false});
	const announced: unknown[] = [];
	edge.backend.onDidAnnounce(announcement => announced.push(announcement?.draining));
	const {port} = edge.backend.announcement!;
	for (const state of ['draining', 'draining', 'stopped']) {
		await fetch(`${edge.backendUrl}/announce`, {
			method: 'POST', body: JSON.stringify({
				service: 'hire-desk', port, slots: 4, connections: 4, state,
			}),
		});
	}

	t.deepEqual(announced, [true, undefined]);
});
