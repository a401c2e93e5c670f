import {connect} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {encodeFrame} from '../encode-frame.js';
import {PeerMethod} from '../peer-method.js';
import {startPeer} from './peer-fixture.js';

const echo = new PeerMethod<{text: string}, {text: string}>('echo');
const timeoutMs = 20_000;

test('many large calls over one connection all complete, each with its own result', async t => {
	const [left, right] = [await startPeer('left'), await startPeer('right')];
	t.teardown(() => {
		left.kernel.dispose();
		right.kernel.dispose();
	});
	right.peers.handle(echo, async ({text}) => ({text}));
	const texts = Array.from({length: 60}, (_, index) => String(index % 10).repeat(100_000 + index));
	const results = await Promise.all(texts.map(async text => left.peers.call(right.peers.self, echo, {text}, {timeoutMs})));
	t.true(results.every(({text}, index) => text === texts[index]));
	t.is(left.metrics.snapshot().counters['peer.silent_connections'] ?? 0, 0);
});

test('a peer that does not read its replies loses its connection, and no other peer does', async t => {
	const [left, right] = [await startPeer('left'), await startPeer('right')];
	t.teardown(() => {
		left.kernel.dispose();
		right.kernel.dispose();
	});
	right.peers.handle(echo, async ({text}) => ({text: text.repeat(1_000_000)}));
	// Connects before the load: with all replies in the same process, the handshake could exceed its timeout.
	await left.peers.call(right.peers.self, echo, {text: 'y'}, {timeoutMs});
	const socket = connect(right.peers.self.peerPort, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.pause();
	socket.write(encodeFrame('{"jsonrpc":"2.0","method":"hello","params":{"nodeId":"raw","incarnation":"raw","sentAtMs":0}}'));
	for (let index = 0; index < 60; index++) {
		socket.write(encodeFrame(JSON.stringify({
			jsonrpc: '2.0', id: `echo/${index}`, method: 'echo', params: {timeoutMs, sentAtMs: 0, params: {text: 'x'}},
		})));
	}

	socket.resume();
	socket.pause();
	while (right.metrics.snapshot().counters['peer.stuck_readers'] === undefined) {
		await left.peers.call(right.peers.self, echo, {text: 'y'}, {timeoutMs});
	}

	socket.resume();
	await once(socket, 'close');
	t.is(right.metrics.snapshot().counters['peer.stuck_readers'], 1);
});
