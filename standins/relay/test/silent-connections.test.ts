import test from 'ava';
import {Deferred} from '../../../src/base/deferred.js';
import {ErrorKind} from '../../../src/base/error-kind.js';
import {PeerMethod} from '../../../src/runtime/peer/peer-method.js';
import {startPeer} from '../../../src/runtime/peer/test/peer-fixture.js';
import {RelayFault} from '../relay-fault.js';
import {TcpRelay} from '../tcp-relay.js';

/** Silence after which a peer is probed; also the time for the hello of a connection, which a busy machine has to meet. */
const silenceMs = 1000;

const echo = new PeerMethod<{text: string}, {text: string}>('echo');
const timeoutMs = 20_000;

/** Starts two peers with a relay between them; the handler returns results only once the gate is open. */
async function startRelayedPeers() {
	const [left, right] = [await startPeer('left', {silenceMs}), await startPeer('right', {silenceMs})];
	const relay = new TcpRelay(right.peers.self.peerPort);
	await relay.listen();
	const gate = new Deferred<void>();
	const invoked = new Deferred<void>();
	const invocations: string[] = [];
	right.peers.handle(echo, async ({text}) => {
		invocations.push(text);
		invoked.resolve();
		await gate.promise;
		return {text};
	});
	return {
		left,
		right,
		relay,
		gate,
		invoked,
		invocations,
		address: {...right.peers.self, peerPort: relay.port},
		stop() {
			left.kernel.dispose();
			right.kernel.dispose();
			relay.dispose();
		},
	};
}

test('a call over a connection that goes silent completes over a new one and is invoked once', async t => {
	const {left, relay, gate, invoked, invocations, address, stop} = await startRelayedPeers();
	const call = left.peers.call(address, echo, {text: 'a'}, {timeoutMs});
	await invoked.promise;
	relay.inject(RelayFault.Swallow, 0);
	gate.resolve();
	t.deepEqual(await call, {text: 'a'});
	t.deepEqual(invocations, ['a']);
	t.is(left.metrics.snapshot().counters['peer.silent_connections'], 1);
	stop();
});

test('a call whose request was swallowed is sent again', async t => {
	const {left, relay, gate, invocations, address, stop} = await startRelayedPeers();
	gate.resolve();
	await left.peers.call(address, echo, {text: 'first'}, {timeoutMs});
	relay.inject(RelayFault.Swallow, 0);
	t.deepEqual(await left.peers.call(address, echo, {text: 'second'}, {timeoutMs}), {text: 'second'});
	t.deepEqual(invocations, ['first', 'second']);
	stop();
});

test('a connection with a long call stays open while probes are answered', async t => {
	const {left, gate, invoked, address, stop} = await startRelayedPeers();
	const call = left.peers.call(address, echo, {text: 'slow'}, {timeoutMs});
	await invoked.promise;
	setTimeout(gate.resolve, 5 * silenceMs);
	t.deepEqual(await call, {text: 'slow'});
	t.is(left.metrics.snapshot().counters['peer.silent_connections'] ?? 0, 0);
	stop();
});

test('many calls over a connection that breaks in the middle of a frame all complete and are invoked once', async t => {
	const {left, relay, gate, invoked, invocations, address, stop} = await startRelayedPeers();
	const texts = Array.from({length: 200}, (_, index) => `${index}`.repeat(100));
	const calls = texts.map(async text => left.peers.call(address, echo, {text}, {timeoutMs}));
	await invoked.promise;
	relay.inject(RelayFault.Cut, 1001);
	gate.resolve();
	t.deepEqual(await Promise.all(calls), texts.map(text => ({text})));
	t.deepEqual(new Set(invocations).size, invocations.length);
	stop();
});

test('a call that was sent fails as lost, not as unreachable, when a new incarnation replaces its peer', async t => {
	const {left, right, gate, invoked, invocations, stop} = await startRelayedPeers();
	const call = left.peers.call(right.peers.self, echo, {text: 'a'}, {timeoutMs});
	const failure = t.throwsAsync(call);
	await invoked.promise;
	const {peerPort} = right.peers.self;
	right.kernel.dispose();
	const next = await startPeer('right', {incarnation: 'next', peerPort, silenceMs});
	next.peers.handle(echo, async ({text}) => {
		invocations.push(text);
		return {text};
	});
	t.like(await failure, {kind: ErrorKind.PeerLost, started: undefined});
	t.deepEqual(invocations, ['a']);
	gate.resolve();
	next.kernel.dispose();
	stop();
});
