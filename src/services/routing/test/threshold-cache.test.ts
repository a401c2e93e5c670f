import {install, type Clock} from '@sinonjs/fake-timers';
import test from 'ava';
import {ThresholdCache} from '../threshold-cache.js';

let clock: Clock;

test.beforeEach(() => {
	clock = install();
});

test.afterEach.always(() => {
	clock.uninstall();
});

test.serial('a threshold applies unchanged while it is fresh, then decays to 0', t => {
	const cache = new ThresholdCache();
	cache.record({service: 'returns', threshold: 2, ageMs: 0});
	clock.tick(1000);
	t.is(cache.thresholdOf('returns'), 2);
	clock.tick(1000);
	t.is(cache.thresholdOf('returns'), 1);
	clock.tick(1000);
	t.is(cache.thresholdOf('returns'), 0);
	t.deepEqual(cache.heard, []);
});

test.serial('the latest threshold applies, regardless of the order of arrival', t => {
	const cache = new ThresholdCache();
	clock.tick(1000);
	cache.record({service: 'returns', threshold: 0.5, ageMs: 10});
	cache.record({service: 'returns', threshold: 2, ageMs: 200});
	t.is(cache.thresholdOf('returns'), 0.5);
	cache.record({service: 'returns', threshold: 0, ageMs: 0});
	t.is(cache.thresholdOf('returns'), 0);
	t.is(cache.heard[0].threshold, 0);
});
