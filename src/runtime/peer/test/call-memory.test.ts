import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {Deferred} from '../../../base/deferred.js';
import {CallMemory} from '../call-memory.js';
import {type CallOutcome} from '../call-outcome.js';

const largeText = 'x'.repeat(5_000_000);

test.serial('a call is kept until no duplicate of it may start, and then removed', async t => {
	const clock = install({now: 1_000_000, toFake: ['performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	const memory = new CallMemory();
	await memory.begin('a', 'left', performance.now() + 5000, async () => ({result: 1}));
	clock.tick(5000);
	t.false(memory.isFull);
	t.deepEqual(await memory.join('a', 'left'), {result: 1});
	clock.tick(1001);
	t.false(memory.isFull);
	t.is(memory.join('a', 'left'), undefined);
});

test.serial('a call is aborted only when no sender waits for it any more', t => {
	const memory = new CallMemory();
	let signal: AbortSignal | undefined;
	void memory.begin('a', 'left', performance.now() + 5000, async controller => {
		signal = controller.signal;
		return new Deferred<CallOutcome>().promise;
	});
	void memory.join('a', 'right');
	memory.cancel('a', 'left', performance.now() + 5000);
	t.false(signal?.aborted);
	memory.cancel('a', 'right', performance.now() + 5000);
	t.true(signal?.aborted);
});

test.serial('a call that was cancelled before it arrived is not invoked', async t => {
	const memory = new CallMemory();
	memory.cancel('a', 'left', performance.now() + 5000);
	t.like(await memory.join('a', 'left'), {error: {kind: 'caller-gone', started: false}});
});

test.serial('when outcomes exceed the memory limit the oldest is discarded, and its call is not invoked again', async t => {
	const memory = new CallMemory();
	for (const key of ['a', 'b', 'c', 'd']) {
		await memory.begin(key, 'left', performance.now() + 60_000, async () => ({result: largeText}));
	}

	await Promise.resolve();
	t.like(await memory.join('a', 'left'), {error: {kind: 'peer-lost'}});
	t.deepEqual(await memory.join('d', 'left'), {result: largeText});
});
