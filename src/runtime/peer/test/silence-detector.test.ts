import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {SilenceDetector} from '../silence-detector.js';

const probeAfterMs = 300;
const abandonAfterMs = 500;

/** A silence detector under a fake clock, with a log of its actions. */
function startDetector(t: {teardown(release: () => void): void}) {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	const actions: string[] = [];
	const act = (name: string) => () => {
		actions.push(`${name} at ${performance.now()}`);
	};

	return {clock, actions, detector: new SilenceDetector(probeAfterMs, abandonAfterMs, {probe: act('probe'), abandon: act('abandon')})};
}

test.serial('a connection that is silent with a call outstanding is probed, and abandoned if there is no reply', t => {
	const {clock, actions, detector} = startDetector(t);
	detector.start();
	clock.tick(10_000);
	t.deepEqual(actions, ['probe at 300', 'abandon at 800']);
});

test.serial('silence without a call outstanding is ignored', t => {
	const {clock, actions, detector} = startDetector(t);
	detector.start();
	clock.tick(100);
	detector.stopIfIdle(0);
	clock.tick(10_000);
	t.deepEqual(actions, []);
});

test.serial('received data restarts the period of silence, before a probe and after it', t => {
	const {clock, actions, detector} = startDetector(t);
	detector.start();
	clock.tick(200);
	detector.recordReceived();
	clock.tick(299);
	t.deepEqual(actions, []);
	clock.tick(1);
	clock.tick(499);
	t.deepEqual(actions, ['probe at 500']);
	detector.recordReceived();
	clock.tick(10_000);
	t.deepEqual(actions, ['probe at 500', 'probe at 1299', 'abandon at 1799']);
});

test.serial('a process that was stalled waits for another period before it abandons the connection', t => {
	const {clock, actions, detector} = startDetector(t);
	detector.start();
	clock.tick(300);
	clock.jump(5000);
	t.deepEqual(actions, ['probe at 300']);
	detector.recordReceived();
	clock.tick(500);
	t.deepEqual(actions, ['probe at 300', 'probe at 5600']);
});
