import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {BackendCircuitBreaker} from '../backend-circuit-breaker.js';

const meanRunMs = 50;

test.serial('an unresponsive backend server gets one trial request per interval until it answers', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const breaker = new BackendCircuitBreaker();
	const ends = [breaker.recordRequest(), breaker.recordRequest(), breaker.recordRequest()];
	clock.tick(200);
	t.true(breaker.maySend(meanRunMs));
	clock.tick(101);
	t.deepEqual([breaker.maySend(meanRunMs), breaker.maySend(meanRunMs)], [true, false]);
	clock.tick(250);
	t.true(breaker.maySend(meanRunMs));
	ends[0](true);
	t.deepEqual([breaker.maySend(meanRunMs), breaker.maySend(meanRunMs)], [true, true]);
});

test.serial('a single long execution does not make the backend server unresponsive', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const breaker = new BackendCircuitBreaker();
	breaker.recordRequest();
	clock.tick(5000);
	t.deepEqual([breaker.maySend(meanRunMs), breaker.maySend(meanRunMs)], [true, true]);
});

test.serial('consecutive failed connections make the backend server unreachable until an answer or a new instance', t => {
	const clock = install({now: 10_000});
	t.teardown(() => {
		clock.uninstall();
	});
	const breaker = new BackendCircuitBreaker();
	breaker.recordConnectFailure();
	t.deepEqual([breaker.maySend(meanRunMs), breaker.maySend(meanRunMs)], [true, true]);
	breaker.recordConnectFailure();
	t.deepEqual([breaker.maySend(meanRunMs), breaker.maySend(meanRunMs)], [true, false]);
	breaker.reset();
	t.deepEqual([breaker.maySend(meanRunMs), breaker.maySend(meanRunMs)], [true, true]);
});
