import {install, type Clock} from '@sinonjs/fake-timers';
import test from 'ava';
import {ThresholdMemory} from '../threshold-memory.js';

let clock: Clock;

test.beforeEach(() => {
	clock = install();
});

test.afterEach.always(() => {
	clock.uninstall();
});

test.serial('a threshold applies unchanged while it is fresh, then decays to 0', t => {
	const memory = new ThresholdMemory();
	memory.record({service: 'returns', threshold: 2, ageMs: 0});
	clock.tick(1000);
	t.is(memory.thresholdOf('returns'), 2);
	clock.tick(1000);
	t.is(memory.thresholdOf('returns'), 1);
	clock.tick(1000);
	t.is(memory.thresholdOf('returns'), 0);
	t.deepEqual(memory.heard, []);
});

test.serial('the latest threshold applies, regardless of the order of arrival', t => {
	const memory = new ThresholdMemory();
	clock.tick(1000);
	memory.record({service: 'returns', threshold: 0.5, ageMs: 10});
	memory.record({service: 'returns', threshold: 2, ageMs: 200});
	t.is(memory.thresholdOf('returns'), 0.5);
	memory.record({service: 'returns', threshold: 0, ageMs: 0});
	t.is(memory.thresholdOf('returns'), 0);
	t.is(memory.heard[0].threshold, 0);
});
