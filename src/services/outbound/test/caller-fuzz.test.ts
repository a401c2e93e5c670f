import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {openOutbound, type PassedRequest} from './outbound-fixture.js';

/** Run by hand with more runs and other seeds, e.g. `FUZZ_RUNS=200 FUZZ_SEED=7`. */
const runs = Number(process.env.FUZZ_RUNS ?? 8);
const seed = Number(process.env.FUZZ_SEED ?? 31);
const limits = {
	maxHeaderBytes: 4096, maxBodyBytes: 20_000, headerTimeoutMs: 100, idleTimeoutMs: 3000,
};
const executionMs = 20;
/** Longer than a head may take and the interval at which that is checked. */
const longPauseMs = 700;
/** Time in which everything that was passed on is answered. */
const settleMs = 200;

const strayTexts = ['\r\n', 'x', 'GET / HTTP/1.1\r\n', '\0', 'POST /charge HTTP/1.1\r\nhost: a.example\r\ncontent-length: 5\r\n'];

const requestArbitrary = fc.record({
	isPost: fc.boolean(),
	framing: fc.constantFrom('length', 'chunks', 'single-byte chunks'),
	bodyBytes: fc.constantFrom(0, 1, 40, 3000),
	/** Bytes in front of the request that are part of none. */
	stray: fc.oneof({weight: 5, arbitrary: fc.constant('')}, {weight: 1, arbitrary: fc.constantFrom(...strayTexts)}),
});

const pauseArbitrary = fc.record({
	at: fc.oneof(fc.constant(0), fc.double({min: 0, max: 1, noNaN: true})),
	pauseMs: fc.oneof({weight: 3, arbitrary: fc.integer({min: 0, max: 5})}, {weight: 1, arbitrary: fc.integer({min: longPauseMs / 2, max: longPauseMs})}),
});

const callerArbitrary = fc.record({
	requests: fc.array(requestArbitrary, {minLength: 1, maxLength: 4}),
	pauses: fc.array(pauseArbitrary, {maxLength: 3}),
	/** Fraction of the bytes that are sent before the caller ends its side. */
	sentFraction: fc.oneof({weight: 3, arbitrary: fc.constant(1)}, {weight: 1, arbitrary: fc.double({min: 0, max: 1, noNaN: true})}),
});

type Caller = typeof callerArbitrary extends fc.Arbitrary<infer T> ? T : never;

function encodeRequest(id: string, {isPost, framing, bodyBytes, stray}: Caller['requests'][number]): string {
	const head = `${stray}${isPost ? 'POST' : 'GET'} /charge/${id} HTTP/1.1\r\nhost: a.example\r\nid: ${id}\r\ndeadline: 4000\r\n`;
	if (!isPost) {
		return `${head}\r\n`;
	}

	const body = 'b'.repeat(bodyBytes);
	if (framing === 'length') {
		return `${head}content-length: ${bodyBytes}\r\n\r\n${body}`;
	}

	const pieces = framing === 'single-byte chunks' ? [...body] : [body];
	const chunks = bodyBytes === 0 ? '' : pieces.map(piece => `${piece.length.toString(16)}\r\n${piece}\r\n`).join('');
	return `${head}transfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

/** Sends what a caller sends, whatever it receives meanwhile; returns the bytes of all answers. */
async function play(port: number, name: string, {requests, pauses, sentFraction}: Caller): Promise<string> {
	const text = requests.map((request, index) => encodeRequest(`${name}-${index}`, request)).join('');
	const socket = connect({host: '127.0.0.1', port, allowHalfOpen: true});
	let received = '';
	socket.on('data', bytes => {
		received += bytes.toString('latin1');
	});
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	const endOffset = Math.ceil(text.length * sentFraction);
	let offset = 0;
	for (const {at, pauseMs} of [...pauses].sort((left, right) => left.at - right.at)) {
		const end = Math.min(endOffset, Math.ceil(text.length * at));
		socket.write(text.slice(offset, end), 'latin1');
		offset = Math.max(offset, end);
		await sleep(pauseMs);
	}

	socket.write(text.slice(offset, endOffset), 'latin1');
	await sleep(settleMs + (executionMs * requests.length));
	socket.destroy();
	return received;
}

/** Checks what a caller received against what was passed on of its requests. */
function check(name: string, {requests}: Caller, received: string, passed: readonly PassedRequest[]): void {
	const own = passed.filter(({requestId}) => requestId.startsWith(`${name}-`));
	const ids = own.map(({requestId}) => requestId);
	if (new Set(ids).size < ids.length) {
		throw new Error(`${ids.join(', ')}: a request was passed on twice`);
	}

	for (const {requestId, method, bodyBytes} of own) {
		const {isPost, bodyBytes: sentBytes} = requests[Number(requestId.split('-').at(-1))];
		if (method !== (isPost ? 'POST' : 'GET') || bodyBytes !== (isPost ? sentBytes : 0)) {
			throw new Error(`${requestId}: ${method} with ${bodyBytes} bytes was passed on instead of ${JSON.stringify(requests)}`);
		}
	}

	const statuses = [...received.matchAll(/HTTP\/1\.1 (?<status>\d{3}) /gv)].map(({groups}) => groups!.status);
	const answered = [...received.matchAll(/ran (?<id>[a-z\d]+-\d+)/gv)].map(({groups}) => groups!.id);
	// Answers come in the order of the requests, which need not be passed on in this order.
	if (answered.join(',') !== ids.toSorted().slice(0, answered.length).join(',')) {
		throw new Error(`answers to ${answered.join(', ')} but ${ids.join(', ')} were passed on`);
	}

	// The answers before a refusal are whole, so whatever ran beyond them ran behind the refusal.
	const refusals = statuses.filter(status => ['408', '429', '503', '421'].includes(status)).length;
	if (refusals > 0 && ids.length > answered.length) {
		throw new Error(`${ids.slice(answered.length).join(', ')} ran behind a refusal: ${statuses.join(', ')}`);
	}
}

// Guards against requests that run although they were refused (REFUSED), run twice or changed (TWICE, UNASKED), and answers to others (MIXED).
test('whatever callers send, only requests that were sent whole run, once, and nothing runs behind a refusal', async t => {
	const {port, passed} = await openOutbound(t, limits, executionMs);
	let runNumber = 0;
	await fc.assert(fc.asyncProperty(fc.array(callerArbitrary, {minLength: 16, maxLength: 24}), async callers => {
		runNumber++;
		const names = callers.map((_caller, index) => `c${runNumber}x${index}`);
		const received = await Promise.all(callers.map(async (caller, index) => play(port, names[index], caller)));
		for (const [index, caller] of callers.entries()) {
			check(names[index], caller, received[index], passed);
		}
	}), {
		seed, numRuns: runs, endOnFailure: true, includeErrorInReport: true,
	});
	t.true(passed.length > 0);
});
