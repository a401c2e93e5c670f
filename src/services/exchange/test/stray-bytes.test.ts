import test from 'ava';
import {answerTo, openRawBackend} from './raw-backend.js';

// These tests guard against answers that are mixed up (MIXED): bytes that belong to no request become the head of the next answer.

const statusLine = 'HTTP/1.1 200 OK\r\n';

/** Bytes that a faulty backend server writes behind an answer. */
const strayBytes = new Map<string, string>([
	['a status line', statusLine],
	['a status line behind an empty line', `\r\n${statusLine}`],
	['a status line and a header', `${statusLine}id: r0\r\n`],
	['a status line that breaks off before its end', 'HTTP/1.1 200 OK'],
	['a status line and half a header', `${statusLine}note: `],
	['a status line that announces a length', `${statusLine}content-length: 5\r\n`],
	['a status line that announces chunks', `${statusLine}transfer-encoding: chunked\r\n`],
	['an interim answer', 'HTTP/1.1 100 Continue\r\n\r\n'],
	['the start of an interim answer', 'HTTP/1.1 100 Continue\r\n'],
	['an empty line', '\r\n'],
	['a single letter', 'x'],
]);

for (const [name, stray] of strayBytes) {
	test(`${name} in one piece with the answer before it is not part of the next answer`, async t => {
		const {exchange, counts} = await openRawBackend(t, (socket, number) => {
			socket.write(number === 1 ? answerTo('r1') + stray : answerTo(`r${number}`, 'failed', '500 Internal Server Error'));
		});
		t.like(await exchange('r1'), {status: 200, body: 'whole'});
		t.like(await exchange('r2'), {status: 500, body: 'failed'});
		t.is(counts().connections, 2);
	});

	test(`${name} ahead of an answer never changes its status`, async t => {
		const {exchange} = await openRawBackend(t, (socket, number) => {
			socket.write(number === 1 ? answerTo('r1') : stray + answerTo(`r${number}`, 'failed', '500 Internal Server Error'));
		});
		await exchange('r1');
		try {
			t.like(await exchange('r2'), {status: 500, body: 'failed'});
		} catch (error) {
			t.like(error, {kind: 'backend-failed', started: undefined});
		}
	});
}

// A refusal allows another attempt: taken for the answer of a request that runs, it makes the request run twice.
test('the start of a refusal ahead of an answer does not refuse the request', async t => {
	const {exchange} = await openRawBackend(t, (socket, number) => {
		socket.write(number === 1 ? answerTo('r1') : `HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\n${answerTo('r2')}`);
	});
	await exchange('r1');
	t.like(await t.throwsAsync(exchange('r2')), {kind: 'backend-failed', started: undefined});
});

const head = 'HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\n';
const malformedAnswers = new Map<string, string>([
	['a header line without a colon', `${head}no colon\r\ncontent-length: 2\r\n\r\nok`],
	['a space before the colon', `${head}a : b\r\ncontent-length: 2\r\n\r\nok`],
	['a header without a name', `${head}: b\r\ncontent-length: 2\r\n\r\nok`],
	['a folded header', `${head}a: b\r\n c\r\ncontent-length: 2\r\n\r\nok`],
	['a bare CR in a header', `${head}a: b\rc\r\ncontent-length: 2\r\n\r\nok`],
	['a control character in a header', `${head}a: b\0c\r\ncontent-length: 2\r\n\r\nok`],
	['a name with a character that is not ASCII', `${head}a\u{BA}b\r\ncontent-length: 2\r\n\r\nok`],
	['two different lengths', `${head}content-length: 2\r\ncontent-length: 3\r\n\r\nokk`],
	['a length beside chunks', `${head}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`],
	['a transfer coding besides chunked', `${head}transfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`],
	['chunked twice', `${head}transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`],
	['chunks in HTTP/1.0', `${head.replace('1.1', '1.0')}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`],
	['another version of HTTP', `${head.replace('1.1', '3.1')}content-length: 2\r\n\r\nok`],
	['a status of 999', `${head.replace('200', '999')}content-length: 2\r\n\r\nok`],
	['two request ids', `${head}id: r1\r\ncontent-length: 2\r\n\r\nok`],
	['a switch of protocols', 'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n'],
	['a malformed trailer', `${head}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nno colon\r\n\r\n`],
	['a status line within the reason', `HTTP/1.1 200 OK${head}content-length: 2\r\n\r\nok`],
	['a status line within a header', `HTTP/1.1 200 OK\r\na: ${head}content-length: 2\r\n\r\nok`],
]);

for (const [name, bytes] of malformedAnswers) {
	test(`${name} is not taken as an answer`, async t => {
		const {exchange} = await openRawBackend(t, socket => {
			socket.end(bytes, 'latin1');
		});
		t.like(await t.throwsAsync(exchange('r1')), {kind: 'backend-failed', started: undefined});
	});
}

test('an answer without a body may state the length that its body would have', async t => {
	const {exchange} = await openRawBackend(t, socket => {
		socket.write('HTTP/1.1 304 Not Modified\r\nid: r1\r\nsignature: s\r\ncontent-length: 7\r\n\r\n');
	});
	t.like(await exchange('r1'), {status: 304, body: ''});
});

test('a connection is reused after an answer that has no body and states no length', async t => {
	const {exchange, counts} = await openRawBackend(t, (socket, number) => {
		socket.write(`HTTP/1.1 204 No Content\r\nid: r${number}\r\nsignature: s\r\n\r\n`);
	});
	t.like(await exchange('r1'), {status: 204, body: ''});
	t.like(await exchange('r2'), {status: 204, body: ''});
	t.is(counts().connections, 1);
});

test('header values may have characters that are not ASCII', async t => {
	const {exchange} = await openRawBackend(t, socket => {
		socket.write(`${head}note: caf\u{E9}\r\ncontent-length: 2\r\n\r\nok`, 'latin1');
	});
	const {headers} = await exchange('r1');
	t.is(headers[headers.indexOf('note') + 1], 'caf\u{E9}');
});

test('an empty line ahead of an answer is skipped', async t => {
	const {exchange} = await openRawBackend(t, socket => {
		socket.write(`\r\n${answerTo('r1')}`);
	});
	t.like(await exchange('r1'), {status: 200, body: 'whole'});
});
