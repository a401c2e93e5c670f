import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import test from 'ava';
import {Deferred} from '../../../base/deferred.js';
import {encodeFrame} from '../encode-frame.js';
import {PeerMethod} from '../peer-method.js';
import {startPeer} from './peer-fixture.js';

const echo = new PeerMethod<{text: string}, {text: string}>('echo');
const hello = encodeFrame('{"jsonrpc":"2.0","method":"hello","params":{"nodeId":"raw","incarnation":"raw","sentAtMs":0}}');
const tooLong = Buffer.alloc(4, 0xFF);

const badBytes: ReadonlyArray<readonly [name: string, bytes: Uint8Array]> = [
	['a frame that is too long', Buffer.concat([hello, tooLong])],
	['a frame that is not JSON', Buffer.concat([hello, encodeFrame('{"jsonrpc"')])],
	['a frame that is not JSON-RPC', Buffer.concat([hello, encodeFrame('[1]')])],
	['a request before the hello', encodeFrame('{"jsonrpc":"2.0","id":"echo/1","method":"echo","params":{}}')],
	['a malformed hello', encodeFrame('{"jsonrpc":"2.0","method":"hello","params":{"nodeId":7}}')],
];

for (const [name, bytes] of badBytes) {
	test(`${name} closes its connection, gets an error reply, is counted and does not affect other calls`, async t => {
		const [left, right] = [await startPeer('left'), await startPeer('right')];
		const [gate, invoked] = [new Deferred<void>(), new Deferred<void>()];
		let invocations = 0;
		right.peers.handle(echo, async ({text}) => {
			invocations++;
			invoked.resolve();
			await gate.promise;
			return {text};
		});
		const call = left.peers.call(right.peers.self, echo, {text: 'whole'}, {timeoutMs: 10_000});
		await invoked.promise;
		const socket = connect(right.peers.self.peerPort, '127.0.0.1');
		socket.write(bytes);
		const received = await readText(socket);
		t.regex(received, /"id":null,"error":\{"code":-32700/v);
		t.is(right.metrics.snapshot().counters['peer.protocol_errors'], 1);
		gate.resolve();
		t.deepEqual(await call, {text: 'whole'});
		t.is(invocations, 1);
		left.kernel.dispose();
		right.kernel.dispose();
	});
}

test('a call without a timeout gets an error reply with its id and is not invoked', async t => {
	const right = await startPeer('right');
	right.peers.handle(echo, async () => t.fail());
	const socket = connect(right.peers.self.peerPort, '127.0.0.1');
	socket.write(Buffer.concat([hello, encodeFrame('{"jsonrpc":"2.0","id":"echo/1","method":"echo","params":{"params":{}}}')]));
	let received = '';
	for await (const chunk of socket.setEncoding('utf8')) {
		received += String(chunk);
		if (received.includes('echo/1')) {
			break;
		}
	}

	t.regex(received, /"id":"echo\/1","error":\{"code":-32602,"message":"malformed call"\}/v);
	right.kernel.dispose();
});

test('frames that arrive byte by byte or two in one chunk are decoded', async t => {
	const right = await startPeer('right');
	right.peers.handle(echo, async ({text}) => ({text}));
	const request = (id: number) => encodeFrame(JSON.stringify({
		jsonrpc: '2.0', id: `echo/${id}`, method: 'echo', params: {timeoutMs: 5000, sentAtMs: 0, params: {text: `é${id}`}},
	}));
	const socket = connect(right.peers.self.peerPort, '127.0.0.1');
	await once(socket, 'connect');
	for (const byte of hello) {
		socket.write(Uint8Array.of(byte));
	}

	socket.write(Buffer.concat([request(1), request(2)]));
	let received = '';
	for await (const chunk of socket.setEncoding('utf8')) {
		received += String(chunk);
		if (received.includes('é1') && received.includes('é2')) {
			break;
		}
	}

	t.regex(received, /"id":"echo\/1","result":\{"text":"é1"\}/v);
	right.kernel.dispose();
});
