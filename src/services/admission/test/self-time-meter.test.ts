import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {SelfTimeMeter} from '../self-time-meter.js';

test('overlapping inner calls are subtracted from the self time only once', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const meter = new SelfTimeMeter();
	clock.tick(10);
	meter.innerCallStarted();
	clock.tick(20);
	meter.innerCallStarted();
	clock.tick(20);
	meter.innerCallEnded();
	clock.tick(20);
	t.is(meter.selfTimeMs, 10);
	meter.innerCallEnded();
	clock.tick(5);
	t.is(meter.selfTimeMs, 15);
});
