import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {RequestPacer} from '../request-pacer.js';

/** Counts the requests that may be sent in a time, tried every 10 ms. */
function countSent(pacer: RequestPacer, durationMs: number, tick: (ms: number) => void): number {
	let sent = 0;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
		while (sent < 1000 && pacer.tryTake()) {
			sent++;
		}

		tick(10);
	}

	return sent;
}

test.serial('requests are sent at the limit, also after a pause, and freely without one', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const tick = (ms: number) => {
		clock.tick(ms);
	};

	const pacer = new RequestPacer();
	t.is(countSent(pacer, 10, tick), 1000);
	t.true(pacer.setLimit(20));
	t.false(pacer.setLimit(20));
	t.is(pacer.waitMsOf(1), 100);
	const first = countSent(pacer, 4000, tick);
	t.true(first >= 79 && first <= 80, `${first} sent`);

	tick(60_000);
	const afterPause = countSent(pacer, 4000, tick);
	t.true(afterPause <= 80 + 5, `${afterPause} sent`);

	t.true(pacer.setLimit(0));
	tick(60_000);
	const atZero = countSent(pacer, 8000, tick);
	t.true(atZero >= 1 && atZero <= 3, `${atZero} sent`);

	t.true(pacer.setLimit(undefined));
	t.is(pacer.waitMs, 0);
	t.is(countSent(pacer, 10, tick), 1000);
});
