import {type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {openRawBackend} from './raw-backend.js';

/** Run by hand with more runs and other seeds, e.g. `FUZZ_RUNS=2000 FUZZ_SEED=7`. */
const runs = Number(process.env.FUZZ_RUNS ?? 60);
const seed = Number(process.env.FUZZ_SEED ?? 31);
/** Long enough for an answer in pieces; a request whose answer was swallowed ends with it. */
const deadlineMs = 250;
const maxPauseMs = 3;

type Answer = {
	readonly status: string;
	readonly isRefusal: boolean;
	readonly framing: 'length' | 'chunks' | 'single-byte chunks' | 'end of the connection';
	readonly body: string;
};

const answerArbitrary: fc.Arbitrary<Answer> = fc.record({
	status: fc.constantFrom('200 OK', '200', '404 Not Found', '500 Internal Server Error'),
	isRefusal: fc.boolean(),
	framing: fc.constantFrom('length', 'length', 'chunks', 'single-byte chunks', 'end of the connection'),
	body: fc.string({minLength: 1, maxLength: 60, unit: 'grapheme-ascii'}),
});

/** Bytes that belong to no request: a copy of an earlier answer or something else, cut anywhere or behind a line. */
const strayArbitrary = fc.record({
	source: fc.constantFrom('none', 'none', 'copy', 'lines', 'interim', 'bytes'),
	lineCount: fc.integer({min: 1, max: 4}),
	keptFraction: fc.double({min: 0, max: 1, noNaN: true}),
	bytes: fc.string({maxLength: 40, unit: fc.constantFrom('H', 'T', 'P', '/', '1', '.', ' ', '2', '0', ':', '\r', '\n', '\r\n', 'x', '\0', '\u{FF}')}),
});

const turnArbitrary = fc.record({
	answer: answerArbitrary,
	before: strayArbitrary,
	behind: strayArbitrary,
	/** Positions at which the bytes are split, as fractions, and the pauses there. */
	splits: fc.array(fc.record({at: fc.double({min: 0, max: 1, noNaN: true}), pauseMs: fc.integer({min: 0, max: maxPauseMs})}), {maxLength: 3}),
});

type Turn = typeof turnArbitrary extends fc.Arbitrary<infer T> ? T : never;

function statusOf({status, isRefusal}: Answer): number {
	return isRefusal ? 503 : Number(status.slice(0, 3));
}

function encodeAnswer(id: string, answer: Answer): string {
	const {status, isRefusal, framing, body} = answer;
	const head = `HTTP/1.1 ${isRefusal ? '503 Service Unavailable\r\nnot-run: 1' : status}\r\nid: ${id}\r\nsignature: s\r\n`;
	const pieces = framing === 'single-byte chunks' ? [...body] : [body];
	switch (framing) {
		case 'length': {
			return `${head}content-length: ${body.length}\r\n\r\n${body}`;
		}

		case 'end of the connection': {
			return `${head}\r\n${body}`;
		}

		case 'chunks':
		case 'single-byte chunks': {
			return `${head}transfer-encoding: chunked\r\n\r\n${pieces.map(piece => `${piece.length.toString(16)}\r\n${piece}\r\n`).join('')}0\r\n\r\n`;
		}
	}
}

function encodeStray({source, lineCount, keptFraction, bytes}: Turn['before'], copied: string): string {
	switch (source) {
		case 'none': {
			return '';
		}

		case 'bytes': {
			return bytes;
		}

		case 'lines': {
			return copied.split('\r\n').slice(0, lineCount).map(line => `${line}\r\n`).join('');
		}

		case 'copy':
		case 'interim': {
			const whole = source === 'copy' ? copied : 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n';
			return whole.slice(0, Math.ceil(whole.length * keptFraction));
		}
	}
}

/** Writes what a turn says, in pieces. */
async function writeTurn(socket: Socket, id: string, turn: Turn, earlier: string): Promise<void> {
	const own = encodeAnswer(id, turn.answer);
	const text = encodeStray(turn.before, earlier) + own + encodeStray(turn.behind, own);
	let offset = 0;
	for (const {at, pauseMs} of [...turn.splits].sort((left, right) => left.at - right.at)) {
		const end = Math.ceil(text.length * at);
		socket.write(text.slice(offset, end), 'latin1');
		offset = end;
		await sleep(pauseMs);
	}

	socket.write(text.slice(offset), 'latin1');
	if (turn.answer.framing === 'end of the connection') {
		socket.end();
	}
}

// Guards against answers that are mixed up (MIXED) and refusals of requests that have run (REFUSED, TWICE), whatever a backend server writes.
test('a request gets only its own whole answer, and counts as refused only if the backend server refused it', async t => {
	await fc.assert(fc.asyncProperty(fc.array(turnArbitrary, {minLength: 2, maxLength: 5}), async turns => {
		const releases: Array<() => void> = [];
		const backend = {
			teardown(release: () => void) {
				releases.push(release);
			},
		};
		try {
			const {exchange} = await openRawBackend(backend, async (socket, number) => {
				const turn = turns[number - 1];
				const earlier = number === 1 ? 'HTTP/1.1 200 OK\r\nid: r0\r\nsignature: s\r\ncontent-length: 2\r\n\r\nok' : encodeAnswer(`r${number - 1}`, turns[number - 2].answer);
				await writeTurn(socket, `r${number}`, turn, earlier);
			});
			for (const [index, {answer, behind}] of turns.entries()) {
				const isExtended = answer.framing === 'end of the connection' && behind.source !== 'none';
				await checkExchange(async () => exchange(`r${index + 1}`, AbortSignal.timeout(deadlineMs)), answer, isExtended);
			}
		} finally {
			for (const release of releases) {
				release();
			}
		}
	}), {seed, numRuns: runs, endOnFailure: runs > 100});
	t.pass();
});

/** Checks one exchange; an answer that ends with its connection may be longer, by bytes that nothing tells from its body. */
async function checkExchange(exchange: () => Promise<{status: number; body: string}>, expected: Answer, isExtended: boolean): Promise<void> {
	try {
		const {status, body} = await exchange();
		if (status !== statusOf(expected) || (isExtended ? !body.startsWith(expected.body) : body !== expected.body)) {
			throw new TypeError(`got ${status} ${JSON.stringify(body)} instead of ${statusOf(expected)} ${JSON.stringify(expected.body)}`);
		}
	} catch (error) {
		if (!(error instanceof KumquatlineError)) {
			throw error;
		}

		if (error.started === false && !expected.isRefusal) {
			throw new TypeError(`refused although it has run: ${error.message}`);
		}
	}
}
