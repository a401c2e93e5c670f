import {Buffer} from 'node:buffer';
import test from 'ava';
import {usedBytes} from '../../../runtime/http/test/used-bytes.js';
import {AnswerCollector} from '../answer-collector.js';

// Guards against nodes that run out of memory (LOST): each one-byte chunk of a body cost a hundred times its length.

const chunkCount = 500_000;
/** Memory that a body of half a megabyte may take: its bytes and a few copies of them. */
const maxHeldBytes = 16_000_000;

test.serial('an answer that the library hands over byte by byte takes memory for its bytes only', async t => {
	const before = usedBytes();
	const collector = new AnswerCollector(10_000_000, 'token');
	const controller = {abort() {/* Not expected. */}} as unknown as Parameters<AnswerCollector['onResponseData']>[0];
	const piece = Buffer.alloc(10_000, 'z');
	for (let sent = 0; sent < chunkCount; sent++) {
		const start = sent % piece.length;
		collector.onResponseData(controller, piece.subarray(start, start + 1));
	}

	const heldBytes = usedBytes() - before;
	t.true(heldBytes < maxHeldBytes, `${heldBytes} bytes`);
	collector.onResponseEnd();
	const {body} = await collector.completeAnswer;
	t.is(body.length, chunkCount);
});
