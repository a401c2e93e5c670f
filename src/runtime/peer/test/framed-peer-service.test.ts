import {once} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {Deferred} from '../../../base/deferred.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {PeerMethod} from '../peer-method.js';
import {startPeer} from './peer-fixture.js';

const echo = new PeerMethod<{text: string}, {text: string}>('echo');
const timeoutMs = 10_000;

test('a call is handled by the peer, and a call to the node itself by its own handler', async t => {
	const [left, right] = [await startPeer('left'), await startPeer('right')];
	for (const {peers} of [left, right]) {
		peers.handle(echo, async ({text}) => ({text: `${peers.self.nodeId}: ${text}`}));
	}

	t.deepEqual(await left.peers.call(right.peers.self, echo, {text: 'a'}, {timeoutMs}), {text: 'right: a'});
	t.deepEqual(await left.peers.call(left.peers.self, echo, {text: 'b'}, {timeoutMs}), {text: 'left: b'});
	left.kernel.dispose();
	right.kernel.dispose();
});

test('an error thrown by the handler arrives with its kind and properties', async t => {
	const [left, right] = [await startPeer('left'), await startPeer('right')];
	right.peers.handle(echo, async () => {
		throw new KumquatlineError(ErrorKind.Overloaded, 'full', {started: false, retryAfterMs: 40});
	});
	const error = await t.throwsAsync<KumquatlineError>(left.peers.call(right.peers.self, echo, {text: ''}, {timeoutMs}));
	t.like(error, {kind: ErrorKind.Overloaded, started: false, retryAfterMs: 40});
	left.kernel.dispose();
	right.kernel.dispose();
});

test('a duplicate call id joins the call in progress, and gets the same result after its end', async t => {
	const [left, other, right] = [await startPeer('left'), await startPeer('other'), await startPeer('right')];
	t.teardown(() => {
		for (const {kernel} of [left, other, right]) {
			kernel.dispose();
		}
	});
	const gate = new Deferred<void>();
	let invocations = 0;
	right.peers.handle(echo, async ({text}) => {
		invocations++;
		await gate.promise;
		return {text: `${text} ${invocations}`};
	});
	const options = {timeoutMs, callId: 'same'};
	const first = left.peers.call(right.peers.self, echo, {text: 'x'}, options);
	const second = other.peers.call(right.peers.self, echo, {text: 'x'}, options);
	gate.resolve();
	t.deepEqual([await first, await second], [{text: 'x 1'}, {text: 'x 1'}]);
	t.deepEqual(await left.peers.call(right.peers.self, echo, {text: 'x'}, options), {text: 'x 1'});
});

test('a cancelled call is aborted at the peer', async t => {
	const [left, right] = [await startPeer('left'), await startPeer('right')];
	const invoked = new Deferred<AbortSignal>();
	right.peers.handle(echo, async (_parameters, {signal}) => {
		invoked.resolve(signal);
		return new Deferred<{text: string}>().promise;
	});
	const controller = new AbortController();
	const call = left.peers.call(right.peers.self, echo, {text: ''}, {timeoutMs, signal: controller.signal});
	const signal = await invoked.promise;
	const aborted = once(signal, 'abort');
	controller.abort();
	const error = await t.throwsAsync<KumquatlineError>(call);
	t.is(error?.kind, ErrorKind.CallerGone);
	await aborted;
	left.kernel.dispose();
	right.kernel.dispose();
});

test('calls fail when the address is closed or belongs to another incarnation', async t => {
	const [left, right] = [await startPeer('left'), await startPeer('right')];
	const changed = {...right.peers.self, incarnation: 'earlier'};
	t.like(await t.throwsAsync(left.peers.call(changed, echo, {text: ''}, {timeoutMs})), {kind: ErrorKind.PeerChanged, started: false});
	const address = right.peers.self;
	right.kernel.dispose();
	await nextTurn();
	t.like(await t.throwsAsync(left.peers.call(address, echo, {text: ''}, {timeoutMs})), {kind: ErrorKind.PeerUnreachable, started: false});
	left.kernel.dispose();
});

test('a closing peer replies to the calls it received, and a later call fails as certainly not received', async t => {
	const [left, right] = [await startPeer('left'), await startPeer('right')];
	const [invoked, gate] = [new Deferred<void>(), new Deferred<void>()];
	right.peers.handle(echo, async params => {
		invoked.resolve();
		await gate.promise;
		return params;
	});
	const first = left.peers.call(right.peers.self, echo, {text: 'x'}, {timeoutMs});
	await invoked.promise;
	const closed = right.peers.close();
	const inTransit = left.peers.call(right.peers.self, echo, {text: 'y'}, {timeoutMs});
	gate.resolve();
	t.deepEqual([await first, await inTransit], [{text: 'x'}, {text: 'y'}]);
	await closed;
	const later = left.peers.call(right.peers.self, echo, {text: 'z'}, {timeoutMs});
	t.like(await t.throwsAsync<KumquatlineError>(later), {kind: ErrorKind.PeerUnreachable, started: false});
	left.kernel.dispose();
	right.kernel.dispose();
});

test('a peer that is disposed without closing loses the calls it received', async t => {
	const [left, right] = [await startPeer('left'), await startPeer('right')];
	const invoked = new Deferred<void>();
	right.peers.handle(echo, async params => {
		invoked.resolve();
		await new Deferred<void>().promise;
		return params;
	});
	const first = left.peers.call(right.peers.self, echo, {text: 'x'}, {timeoutMs});
	await invoked.promise;
	right.kernel.dispose();
	t.like(await t.throwsAsync<KumquatlineError>(first), {kind: ErrorKind.PeerLost});
	left.kernel.dispose();
});
