import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {OwnTimeMeter} from '../own-time-meter.js';

test('overlapping inner calls are subtracted from the self time only once', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const meter = new OwnTimeMeter();
	clock.tick(10);
	meter.subCallBegan();
	clock.tick(20);
	meter.subCallBegan();
	clock.tick(20);
	meter.subCallEnded();
	clock.tick(20);
	t.is(meter.ownTimeMs, 10);
	meter.subCallEnded();
	clock.tick(5);
	t.is(meter.ownTimeMs, 15);
});
