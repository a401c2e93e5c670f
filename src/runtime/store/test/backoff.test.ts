import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {createRandom} from '../../../base/create-random.js';
import {Backoff} from '../backoff.js';

test('waits double up to the limit, with jitter over the upper half', t => {
	const backoff = new Backoff(createRandom(1, 'node'), 100, 2000);
	const ranges = [100, 200, 400, 800, 1600, 2000, 2000];
	for (const fullMs of ranges) {
		const waitMs = backoff.nextMs();
		t.true(waitMs >= fullMs / 2 && waitMs <= fullMs);
	}

	backoff.reset();
	t.true(backoff.nextMs() <= 100);
});

test('clients with different seeds are spread over the last wait', t => {
	const waits = Array.from({length: 100}, (_, seed) => {
		const backoff = new Backoff(createRandom(seed + 1, 'node'), 2000, 2000);
		return Math.floor(backoff.nextMs() / 100);
	});
	t.is(new Set(waits).size, 10);
});

test.serial('a wait ends when its time is over or its signal is aborted', async t => {
	const clock = install();
	try {
		const backoff = new Backoff(createRandom(1, 'node'), 100, 100);
		const controller = new AbortController();
		const wait = backoff.wait(controller.signal);
		await clock.tickAsync(100);
		await t.notThrowsAsync(wait);
		const second = t.throwsAsync(backoff.wait(controller.signal), {any: true});
		controller.abort();
		await second;
		t.is(clock.countTimers(), 0);
	} finally {
		clock.uninstall();
	}
});
