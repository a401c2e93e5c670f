import {setTimeout as sleep} from 'node:timers/promises';
import {type Socket} from 'node:net';
import test from 'ava';
import {answerTo, openRawBackend} from './raw-backend.js';

test('consecutive requests share a connection', async t => {
	const {exchange, counts} = await openRawBackend(t, (socket, number) => {
		socket.write(answerTo(`r${number}`));
	});
	t.like(await exchange('r1'), {status: 200, body: 'whole'});
	t.like(await exchange('r2'), {status: 200, body: 'whole'});
	t.deepEqual(counts(), {connections: 1, requests: 2});
});

const invalidAnswers: ReadonlyArray<readonly [name: string, bytes: string]> = [
	['an unsigned success', 'HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: 2\r\n\r\nok'],
	['an encoded body', 'HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok'],
	['data that is not HTTP', 'SSH-2.0-what\r\n\r\n'],
	['a malformed chunk size', 'HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n\r\n'],
	['a malformed content length', 'HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\ncontent-length: 2x\r\n\r\nok'],
	['a refusal without the header that marks the request as not executed', answerTo('r1', '', '503 Service Unavailable')],
];

for (const [name, bytes] of invalidAnswers) {
	test(`${name} is not taken as an answer, and the request may have been executed`, async t => {
		const {exchange} = await openRawBackend(t, socket => {
			socket.write(bytes);
		});
		const error = await t.throwsAsync(exchange('r1'));
		t.like(error, {kind: 'backend-failed', started: undefined});
	});
}

test('an answer that ends early or is reset is incomplete', async t => {
	const {exchange} = await openRawBackend(t, async (socket, number) => {
		if (number === 1) {
			socket.end('HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\ncontent-length: 20\r\n\r\nhalf');
			return;
		}

		// A connection that is closed with unread bytes is reset.
		socket.pause();
		socket.write(`HTTP/1.1 200 OK\r\nid: r${number}\r\nsignature: s\r\n\r\nhalf`);
		await sleep(20);
		socket.destroy();
	});
	t.like(await t.throwsAsync(exchange('r1')), {kind: 'backend-failed'});
	t.like(await t.throwsAsync(exchange('r2', undefined, 'x'.repeat(8_000_000))), {kind: 'backend-failed'});
});

test('an answer without a length is complete if its connection is closed cleanly', async t => {
	const {exchange} = await openRawBackend(t, socket => {
		socket.end('HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\n\r\nup to the end');
	});
	t.like(await exchange('r1'), {status: 200, body: 'up to the end'});
});

test('an answer without a length is incomplete if its bytes and the reset arrive together', async t => {
	const {exchange} = await openRawBackend(t, socket => {
		socket.pause();
		socket.write('HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\n\r\nhalf');
		socket.destroy();
	});
	t.like(await t.throwsAsync(exchange('r1', undefined, 'x'.repeat(8_000_000))), {kind: 'backend-failed'});
});

test('a request is not executed after a marked refusal or by another instance at the address', async t => {
	const {exchange} = await openRawBackend(t, (socket, number) => {
		socket.write(number === 1
			? 'HTTP/1.1 503 Service Unavailable\r\nid: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n'
			: 'HTTP/1.1 421 Misdirected Request\r\nid: r2\r\ncontent-length: 0\r\n\r\n');
	});
	t.like(await t.throwsAsync(exchange('r1')), {kind: 'backend-shed', started: false});
	t.like(await t.throwsAsync(exchange('r2')), {kind: 'backend-replaced', started: false});
});

test('a second answer to the same request prevents reuse of the connection', async t => {
	const {exchange, counts, settle} = await openRawBackend(t, (socket, number) => {
		socket.write(answerTo(`r${number}`) + answerTo(`r${number}`, 'second'));
	});
	t.like(await exchange('r1'), {body: 'whole'});
	await settle();
	t.like(await exchange('r2'), {body: 'whole'});
	t.is(counts().connections, 2);
});

test('a late answer to an earlier request is skipped for the right one, and the connection is not reused', async t => {
	const {exchange, counts} = await openRawBackend(t, (socket, number) => {
		socket.write(number === 2 ? answerTo('r1', 'late') + answerTo('r2', 'right') : answerTo(`r${number}`));
	});
	await exchange('r1');
	t.like(await exchange('r2'), {body: 'right'});
	await exchange('r3');
	t.is(counts().connections, 2);
});

test('a late refusal of an earlier request does not count as a refusal of the current one', async t => {
	const {exchange} = await openRawBackend(t, (socket, number) => {
		socket.write(number === 1
			? answerTo('r1')
			: 'HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
	});
	await exchange('r1');
	t.like(await t.throwsAsync(exchange('r2')), {kind: 'backend-failed', started: undefined});
});

// A retry at the same backend server has the same request id, so an earlier refusal that is written again would pass for its answer.
test('a repeated refusal of an earlier attempt does not refuse the next attempt of the same request', async t => {
	const refusal = 'HTTP/1.1 503 Service Unavailable\r\nid: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n';
	const {exchange, counts} = await openRawBackend(t, (socket, number) => {
		if (number === 1) {
			socket.write(refusal);
		} else {
			socket.write((counts().connections === 1 ? refusal : '') + answerTo('r1', 'executed'));
		}
	});
	t.like(await t.throwsAsync(exchange('r1')), {kind: 'backend-shed', started: false});
	t.like(await exchange('r1'), {status: 200, body: 'executed'});
	t.is(counts().connections, 2);
	t.like(await exchange('r1'), {status: 200, body: 'executed'});
	t.is(counts().connections, 2);
});

test('an answer whose head is cut anywhere by the end of the connection is incomplete', async t => {
	const head = 'HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\ncontent-length: 5\r\n\r\n';
	for (let length = 1; length <= head.length; length++) {
		const {exchange} = await openRawBackend(t, socket => {
			socket.end(head.slice(0, length));
		});
		const error = await t.throwsAsync(exchange('r1'));
		t.like(error, {kind: 'backend-failed', started: undefined}, `cut after ${length} bytes`);
	}
});

test('the rest of a long request body is still sent after an early answer', async t => {
	const body = 'x'.repeat(3_000_000);
	let receivedBytes = 0;
	const {exchange} = await openRawBackend(t, (socket, number) => {
		if (number === 1) {
			socket.write(answerTo('r1', 'early'));
		} else {
			receivedBytes = socket.bytesRead;
			socket.write(answerTo('r2'));
		}
	});
	t.like(await exchange('r1', undefined, body), {body: 'early'});
	t.like(await exchange('r2'), {body: 'whole'});
	t.true(receivedBytes >= body.length);
});

test('an aborted request closes its connection, so that the backend server stops its execution', async t => {
	let isClosed = false;
	const {exchange, settle} = await openRawBackend(t, socket => {
		socket.on('close', () => {
			isClosed = true;
		});
	});
	const controller = new AbortController();
	const rejection = t.throwsAsync(exchange('r1', controller.signal));
	await settle();
	controller.abort();
	t.like(await rejection, {kind: 'backend-failed'});
	await settle();
	t.true(isClosed);
});

test('a connection that the backend server closes is not reused', async t => {
	const {exchange, counts} = await openRawBackend(t, (socket, number) => {
		socket.write(answerTo(`r${number}`).replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'));
	});
	await exchange('r1');
	await exchange('r2');
	t.is(counts().connections, 2);
});

test('an idle connection is reused only well within the idle timeout that the backend server states', async t => {
	const {exchange, counts} = await openRawBackend(t, (socket, number) => {
		socket.write(answerTo(`r${number}`).replace('\r\n\r\n', '\r\nkeep-alive: timeout=0\r\n\r\n'));
	});
	await exchange('r1');
	await sleep(1);
	await exchange('r2');
	t.is(counts().connections, 2);
});

test('a connection closed without an answer fails the request', async t => {
	const {exchange} = await openRawBackend(t, socket => {
		socket.destroy();
	});
	t.like(await t.throwsAsync(exchange('r1')), {kind: 'backend-failed'});
});

/** Sends a text repeatedly until the other end closes the connection or `maxBytes` have been sent; returns the number of bytes sent. */
async function sendEndlessly(socket: Socket, text: string, maxBytes: number): Promise<number> {
	const block = text.repeat(Math.ceil(65_536 / text.length));
	let sentBytes = 0;
	while (!socket.destroyed && sentBytes < maxBytes) {
		sentBytes += block.length;
		if (!socket.write(block)) {
			await new Promise<void>(resolve => {
				const resume = () => {
					socket.off('drain', resume);
					socket.off('close', resume);
					resolve();
				};

				socket.on('drain', resume);
				socket.on('close', resume);
			});
		}
	}

	return sentBytes;
}

const startOfAnswer = 'HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\n';
const endlessData = new Map<string, readonly [start: string, repeated: string, maxBytes: number]>([
	['a head without a line end', ['HTTP/1.1 200 ', 'x', 4_000_000]],
	['lines of a head', [startOfAnswer, 'a: b\r\n', 4_000_000]],
	['interim answers', ['', 'HTTP/1.1 100 Continue\r\n\r\n', 4_000_000]],
	['the size of a chunk', [`${startOfAnswer}transfer-encoding: chunked\r\n\r\n`, '1;', 4_000_000]],
	['trailers', [`${startOfAnswer}transfer-encoding: chunked\r\n\r\n0\r\n`, 'a: b\r\n', 4_000_000]],
	['a body without a length', [`${startOfAnswer}\r\n`, 'x', 200_000_000]],
	['a body in chunks', [`${startOfAnswer}transfer-encoding: chunked\r\n\r\n`, '1000\r\n'.padEnd(4102, 'x') + '\r\n', 200_000_000]],
]);
for (const [name, [start, repeated, maxBytes]] of endlessData) {
	test.serial(`endless data as ${name} closes the connection`, async t => {
		let sentBytes = 0;
		const {exchange} = await openRawBackend(t, async socket => {
			socket.write(start);
			sentBytes = await sendEndlessly(socket, repeated, maxBytes);
		});
		t.like(await t.throwsAsync(exchange('r1')), {kind: 'backend-failed'});
		t.true(sentBytes < maxBytes, `${sentBytes} bytes`);
	});
}

test.serial('endless bodies on several connections are bounded together', async t => {
	let sentBytes = 0;
	const {exchange} = await openRawBackend(t, async socket => {
		socket.write(`${startOfAnswer}\r\n`);
		sentBytes += await sendEndlessly(socket, 'x', 200_000_000);
	});
	const results = await Promise.allSettled(Array.from({length: 4}, async () => exchange('r1')));
	t.true(results.every(({status}) => status === 'rejected'));
	// Twice the bound on one answer, as the sockets buffer some as well; a separate bound for each connection would allow four times.
	t.true(sentBytes < (2 * 67_108_864) + 16_000_000, `${sentBytes} bytes`);
});
