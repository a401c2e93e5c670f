import {type Clock, install} from '@sinonjs/fake-timers';
import test from 'ava';
import {LatenessThreshold} from '../lateness-threshold.js';
import {LatenessThresholds} from '../lateness-thresholds.js';

let clock: Clock;

test.beforeEach(() => {
	clock = install();
});

test.afterEach.always(() => {
	clock.uninstall();
});

/** Lets roots end, of which such a share is late. */
function run(threshold: LatenessThreshold, {perSecond, lateShare, forMs}: {readonly perSecond: number; readonly lateShare: number; readonly forMs: number}): void {
	const roots = Math.round(perSecond * forMs / 1000);
	for (let index = 0; index < roots; index++) {
		clock.tick(1000 / perSecond);
		threshold.note((index * lateShare) % 1 >= 1 - lateShare);
	}
}

test.serial('a few roots that end late raise nothing', t => {
	const threshold = new LatenessThreshold();
	run(threshold, {perSecond: 50, lateShare: 0.08, forMs: 20_000});
	t.true(threshold.threshold < 0.1, `threshold ${threshold.threshold}`);
});

test.serial('the threshold passes the least rank within some seconds while most end late, and is gone some time after', t => {
	const threshold = new LatenessThreshold();
	run(threshold, {perSecond: 50, lateShare: 0.6, forMs: 4000});
	t.true(threshold.threshold > 1, `threshold ${threshold.threshold}`);
	run(threshold, {perSecond: 50, lateShare: 0, forMs: 5000});
	t.true(threshold.threshold < 1.5, `threshold ${threshold.threshold}`);
	clock.tick(60_000);
	t.is(threshold.threshold, 0);
});

test.serial('a node with few requests judges those of several intervals together', t => {
	const threshold = new LatenessThreshold();
	run(threshold, {perSecond: 2, lateShare: 0.9, forMs: 30_000});
	t.true(threshold.threshold > 0.2, `threshold ${threshold.threshold}`);
});

test.serial('services that late roots do not need keep their threshold', t => {
	const thresholds = new LatenessThresholds();
	for (let index = 0; index < 200; index++) {
		clock.tick(20);
		thresholds.note(['desk', 'stock'], true);
		thresholds.note(['yard'], false);
	}

	t.true(thresholds.thresholdOf('stock') > 1);
	t.is(thresholds.thresholdOf('yard'), 0);
	t.is(thresholds.thresholdOf('unknown'), 0);
});
