import {install, type Clock} from '@sinonjs/fake-timers';
import test from 'ava';
import {AnnouncedLimitService} from '../announced-limit-service.js';
import {AimdLimitService} from '../aimd-limit-service.js';

let clock: Clock;

test.beforeEach(() => {
	clock = install();
});

test.afterEach.always(() => {
	clock.uninstall();
});

test.serial('the limit decreases when the backend server sheds and recovers step by step', t => {
	const service = new AimdLimitService();
	service.setAnnouncedCapacity(10, 100, 1);
	t.is(service.limit, 10);
	service.recordShed(10);
	service.recordShed(10);
	t.is(service.limit, 8);
	clock.tick(999);
	t.is(service.limit, 8);
	clock.tick(1);
	t.is(service.limit, 9);
	clock.tick(5000);
	t.is(service.limit, 10);
	for (let index = 0; index < 50; index++) {
		clock.tick(100);
		service.recordShed(1);
	}

	t.is(service.limit, 1);
	service.setAnnouncedCapacity(10, 100, 2);
	t.is(service.limit, 10);
});

test.serial('a large backend server recovers its full limit within the recovery time', t => {
	const service = new AimdLimitService();
	service.setAnnouncedCapacity(183, 1000, 1);
	for (let index = 0; index < 50; index++) {
		clock.tick(100);
		service.recordShed(service.limit);
	}

	t.true(service.limit < 10);
	clock.tick(15_000);
	t.is(service.limit, 183);
});

test.serial('the announced limit does not change when the backend server sheds', t => {
	const service = new AnnouncedLimitService();
	service.setAnnouncedCapacity(10, 100);
	service.recordShed();
	t.is(service.limit, 10);
});
