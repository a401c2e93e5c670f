import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {until} from './relay-fixture.js';
import {startPair} from './start-pair.js';

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
