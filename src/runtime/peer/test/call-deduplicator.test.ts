import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {Deferred} from '../../../base/deferred.js';
import {CallDeduplicator} from '../call-deduplicator.js';
import {type CallOutcome} from '../call-outcome.js';

const largeText = 'x'.repeat(5_000_000);

test.serial('a call is kept until no duplicate of it may start, and then removed', async t => {
	const clock = install({now: 1_000_000, toFake: ['performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	const deduplicator = new CallDeduplicator();
	await deduplicator.start('a', 'left', performance.now() + 5000, async () => ({result: 1}));
	clock.tick(5000);
	t.false(deduplicator.isFull);
	t.deepEqual(await deduplicator.join('a', 'left'), {result: 1});
	clock.tick(1001);
	t.false(deduplicator.isFull);
	t.is(deduplicator.join('a', 'left'), undefined);
});

test.serial('a call is aborted only when no sender waits for it any more', t => {
	const deduplicator = new CallDeduplicator();
	let signal: AbortSignal | undefined;
	void deduplicator.start('a', 'left', performance.now() + 5000, async controller => {
		signal = controller.signal;
		return new Deferred<CallOutcome>().promise;
	});
	void deduplicator.join('a', 'right');
	deduplicator.cancel('a', 'left', performance.now() + 5000);
	t.false(signal?.aborted);
	deduplicator.cancel('a', 'right', performance.now() + 5000);
	t.true(signal?.aborted);
});

test.serial('a call that was cancelled before it arrived is not invoked', async t => {
	const deduplicator = new CallDeduplicator();
	deduplicator.cancel('a', 'left', performance.now() + 5000);
	t.like(await deduplicator.join('a', 'left'), {error: {kind: 'caller-gone', started: false}});
});

test.serial('when outcomes exceed the memory limit the oldest is evicted, and its call is not invoked again', async t => {
	const deduplicator = new CallDeduplicator();
	for (const key of ['a', 'b', 'c', 'd']) {
		await deduplicator.start(key, 'left', performance.now() + 60_000, async () => ({result: largeText}));
	}

	await Promise.resolve();
	t.like(await deduplicator.join('a', 'left'), {error: {kind: 'peer-lost'}});
	t.deepEqual(await deduplicator.join('d', 'left'), {result: largeText});
});
