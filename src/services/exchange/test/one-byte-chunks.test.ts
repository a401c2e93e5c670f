import {Buffer} from 'node:buffer';
import test from 'ava';
import {BodyBudget} from '../../../runtime/http/body-budget.js';
import {usedBytes} from '../../../runtime/http/test/used-bytes.js';
import {AnswerParser} from '../answer-parser.js';

// Guards against nodes that run out of memory (LOST): each one-byte chunk of a body cost a hundred times its length.

const chunkCount = 500_000;
const oneByteChunk = '1\r\nz\r\n';
const pieceOfChunks = Buffer.from(oneByteChunk.repeat(10_000));
/** Memory that a body of half a megabyte may take: its bytes and a few copies of them. */
const maxHeldBytes = 16_000_000;

test.serial('an answer in one-byte chunks takes memory for its bytes only', t => {
	const before = usedBytes();
	let bodyBytes = 0;
	const parser = new AnswerParser(10_000_000, new BodyBudget(10_000_000).createReservation(), ({body}) => {
		bodyBytes = body.length;
	});
	parser.push(Buffer.from('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'));
	for (let sent = 0; sent < chunkCount; sent += 10_000) {
		parser.push(Buffer.from(pieceOfChunks));
	}

	const heldBytes = usedBytes() - before;
	t.true(heldBytes < maxHeldBytes, `${heldBytes} bytes`);
	parser.push(Buffer.from('0\r\n\r\n'));
	t.is(bodyBytes, chunkCount);
});
