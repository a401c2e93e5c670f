import {type Clock, install} from '@sinonjs/fake-timers';
import test from 'ava';
import {AdmittedShare} from '../admitted-share.js';
import {AdmittedShares} from '../admitted-shares.js';

let clock: Clock;

test.beforeEach(() => {
	clock = install();
});

test.afterEach.always(() => {
	clock.uninstall();
});

/** Records outcomes of root requests, a fraction of them late; each entered `elapsedMs` before its outcome is recorded. */
function run(admitted: AdmittedShare, {perSecond, lateFraction, forMs, elapsedMs = 0}: {
	readonly perSecond: number; readonly lateFraction: number; readonly forMs: number; readonly elapsedMs?: number;
}): void {
	const roots = Math.round(perSecond * forMs / 1000);
	for (let index = 0; index < roots; index++) {
		clock.tick(1000 / perSecond);
		admitted.recordOutcome((index * lateFraction) % 1 >= 1 - lateFraction, performance.now() - elapsedMs);
	}
}

test.serial('a few late root requests do not reduce the share', t => {
	const admitted = new AdmittedShare();
	run(admitted, {perSecond: 50, lateFraction: 0.08, forMs: 20_000});
	t.true(admitted.share > 0.9, `share ${admitted.share}`);
});

test.serial('the share drops within seconds while most root requests are late, and recovers to 1 afterwards', t => {
	const admitted = new AdmittedShare();
	run(admitted, {perSecond: 50, lateFraction: 0.6, forMs: 4000});
	t.true(admitted.share < 0.4, `share ${admitted.share}`);
	run(admitted, {perSecond: 50, lateFraction: 0, forMs: 5000});
	t.true(admitted.share > 0.4, `share ${admitted.share}`);
	clock.tick(60_000);
	t.is(admitted.share, 1);
});

test.serial('root requests that entered before a reduction cause no further reduction', t => {
	const admitted = new AdmittedShare();
	run(admitted, {perSecond: 50, lateFraction: 1, forMs: 600});
	const {share} = admitted;
	t.true(share < 0.6, `share ${share}`);
	run(admitted, {
		perSecond: 50, lateFraction: 1, forMs: 600, elapsedMs: 800,
	});
	t.true(admitted.share >= share, `share ${admitted.share}`);
});

test.serial('a node with few requests evaluates several intervals together, and its share grows at the same rate', t => {
	const admitted = new AdmittedShare();
	run(admitted, {perSecond: 2, lateFraction: 0.9, forMs: 30_000});
	t.true(admitted.share < 0.9, `share ${admitted.share}`);
	run(admitted, {perSecond: 1, lateFraction: 0, forMs: 15_000});
	t.is(admitted.share, 1);
});

test.serial('a share reduced to the minimum recovers to 1 within 15 s', t => {
	const admitted = new AdmittedShare();
	run(admitted, {perSecond: 50, lateFraction: 1, forMs: 20_000});
	t.true(admitted.share < 0.15, `share ${admitted.share}`);
	clock.tick(15_000);
	t.is(admitted.share, 1);
});

test.serial('services that late root requests do not need keep their share', t => {
	const shares = new AdmittedShares();
	for (let index = 0; index < 200; index++) {
		clock.tick(20);
		shares.recordOutcome(['desk', 'stock'], true, performance.now());
		shares.recordOutcome(['yard'], false, performance.now());
	}

	t.true(shares.shareOf('stock') < 0.3);
	t.is(shares.shareOf('yard'), 1);
	t.is(shares.shareOf('unknown'), 1);
});
