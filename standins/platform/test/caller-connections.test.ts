import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {until} from './relay-fixture.js';
import {startPair} from './start-pair.js';

/** Longer than the header timeout of the test nodes and the interval at which they check it. */
const lateHeadMs = 1700;
/** Longer than the idle timeout of the test nodes and the same interval. */
const lateIdleMs = 6000;
/** Time after the start of a planned stop at which the nodes close idle connections, and one that is still inside the grace period. */
const lateReadMs = 3300;
/** Far more than the sockets buffer. */
const largeAnswerBytes = 16_000_000;

function requestText(method: string, path: string, id: string): string {
	return `${method} ${path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 9000\r\n${method === 'POST' ? 'Content-Length: 0\r\n' : ''}\r\n`;
}

/** Opens a connection and collects what arrives on it. */
function openConnection(port: number): {readonly socket: Socket; readonly received: {text: string; isEnded: boolean}} {
	const socket = connect(port, '127.0.0.1');
	const received = {text: '', isEnded: false};
	socket.on('data', bytes => {
		received.text += bytes.toString('latin1');
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		received.isEnded = true;
	});
	return {socket, received};
}

function statuses(text: string): string[] {
	return [...text.matchAll(/HTTP\/1\.1 (?<status>\d{3}) /gv)].map(({groups}) => groups!.status);
}

// Guards against LOST: a stopping node closed connections whose answer was handed to the socket but not yet sent.
test('a stopping node sends the whole of an answer that its caller reads slowly', async t => {
	const {desk, catalogue} = await startPair(t);
	desk.backend.answerBytes = largeAnswerBytes;
	const {socket, received} = openConnection(catalogue.node.ports.outbound);
	socket.write(requestText('POST', '/charge/x', 'slow'));
	await until(() => received.text.length > 0);
	socket.pause();
	await sleep(500);
	const stopped = (async () => {
		await catalogue.node.stop();
		catalogue.node.dispose();
	})();
	await sleep(lateReadMs);
	socket.resume();
	await stopped;
	await until(() => received.isEnded);
	t.is(received.text.length - received.text.indexOf('\r\n\r\n') - 4, largeAnswerBytes);
});

// Guards against LOST: the answer to the first of two pipelined requests closed the connection, while the second was at a backend server.
test('a stopping node answers all pipelined requests that it has passed on', async t => {
	const {desk, catalogue} = await startPair(t);
	catalogue.backend.executionMs = 300;
	const stopped = desk.node.stop();
	await sleep(500);
	const {socket, received} = openConnection(desk.node.ports.outbound);
	socket.write(requestText('GET', '/read/x', 'first') + requestText('GET', '/read/y', 'second'));
	await until(() => received.isEnded);
	await sleep(400);
	const executed = catalogue.backend.executions.map(({id}) => id);
	t.deepEqual(statuses(received.text).filter(status => status === '200').length, executed.length);
	t.true(executed.includes('first'));
	await stopped;
});

// Guards against REFUSED: the time for a head ran from the opening of the connection, and a request that crossed the 408 was executed.
test('a connection may be idle for longer than a head may take before its first request', async t => {
	const {desk, catalogue} = await startPair(t);
	const {socket, received} = openConnection(catalogue.node.ports.outbound);
	await sleep(lateHeadMs);
	t.is(received.text, '');
	socket.write(requestText('POST', '/charge/x', 'late'));
	await until(() => received.text.includes('ran late') || received.isEnded);
	t.deepEqual(statuses(received.text), ['200']);
	t.deepEqual(desk.backend.executions.map(({id}) => id), ['late']);
});

test('a head that takes too long is answered with 408, and the request is not executed when its rest arrives', async t => {
	const {desk, catalogue} = await startPair(t);
	const {socket, received} = openConnection(catalogue.node.ports.outbound);
	const text = requestText('POST', '/charge/x', 'slow');
	socket.write(text.slice(0, 30));
	await until(() => received.text.length > 0);
	socket.write(text.slice(30));
	await sleep(300);
	t.deepEqual(statuses(received.text), ['408']);
	t.deepEqual(desk.backend.executions, []);
});

test('nothing is executed behind a malformed request', async t => {
	const {desk, catalogue} = await startPair(t);
	const {socket, received} = openConnection(catalogue.node.ports.outbound);
	socket.write(`malformed\r\n\r\n${requestText('POST', '/charge/x', 'behind')}`);
	await until(() => received.isEnded);
	await sleep(100);
	t.deepEqual(statuses(received.text), ['400']);
	t.deepEqual(desk.backend.executions, []);
});

test('a connection without a request is closed after the idle timeout, without an answer', async t => {
	const {catalogue} = await startPair(t);
	const {received} = openConnection(catalogue.node.ports.outbound);
	await sleep(lateHeadMs);
	t.false(received.isEnded);
	await sleep(lateIdleMs - lateHeadMs);
	t.true(received.isEnded);
	t.is(received.text, '');
});
