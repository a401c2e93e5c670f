import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import {BodyCollector} from '../body-collector.js';
import {readBody} from '../read-body.js';
import {usedBytes} from './used-bytes.js';

// Guards against nodes that run out of memory (LOST): each one-byte chunk of a body cost a hundred times its length.

const chunkCount = 500_000;
const oneByteChunk = '1\r\nz\r\n';
const pieceOfChunks = Buffer.from(oneByteChunk.repeat(10_000));
/** Memory that a body of half a megabyte may take: its bytes and a few copies of them. */
const maxHeldBytes = 16_000_000;

test.serial('a request body in one-byte chunks takes memory for its bytes only', async t => {
	let bodyBytes: number | undefined;
	const server = createServer(async (message, response) => {
		const body = await readBody(message, 10_000_000);
		bodyBytes = body.length;
		response.end();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connection = once(server, 'connection') as Promise<[Socket]>;
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
		server.close();
	});
	const before = usedBytes();
	socket.write('POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n');
	for (let sent = 0; sent < chunkCount; sent += 10_000) {
		if (!socket.write(pieceOfChunks)) {
			await once(socket, 'drain');
		}
	}

	const [received] = await connection;
	while (received.bytesRead < socket.bytesWritten) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	const heldBytes = usedBytes() - before;
	t.true(heldBytes < maxHeldBytes, `${heldBytes} bytes`);
	socket.write('0\r\n\r\n');
	await once(socket, 'data');
	t.is(bodyBytes, chunkCount);
});

test('the collected body is the pieces in their order', t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 150_000}), {maxLength: 12}), sizes => {
		const collector = new BodyCollector();
		const pieces = sizes.map((sizeBytes, index) => Buffer.alloc(sizeBytes, `${index}-`));
		for (const piece of pieces) {
			collector.append(piece);
		}

		t.true(Buffer.concat(pieces).equals(collector.take()));
		t.is(collector.take().length, 0);
	}), {seed: 30, numRuns: 100});
});
