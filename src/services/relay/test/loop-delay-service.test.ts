import {type Clock, install} from '@sinonjs/fake-timers';
import test from 'ava';
import {LoopDelayService} from '../loop-delay-service.js';

const log = {
	debug() {/* Quiet. */}, info() {/* Quiet. */}, warn() {/* Quiet. */}, error() {/* Quiet. */},
};

let clock: Clock;
let service: LoopDelayService;

test.beforeEach(() => {
	clock = install();
	service = new LoopDelayService(log);
});

test.afterEach.always(() => {
	service.dispose();
	clock.uninstall();
});

/** Lets time pass in which every timer is late by so much. */
function runLate(delayMs: number, forMs: number): void {
	for (let passedMs = 0; passedMs < forMs; passedMs += 50 + delayMs) {
		clock.jump(50 + delayMs);
	}
}

test.serial('a loop that is on time refuses nothing', t => {
	clock.tick(10_000);
	t.is(service.threshold, 0);
});

test.serial('a single pause refuses nothing, nor do stops of up to a tenth of a second in every tenth but not at each look', t => {
	clock.jump(2000);
	t.is(service.threshold, 0);
	clock.tick(500);
	for (let round = 0; round < 50; round++) {
		clock.jump(130);
		clock.tick(120);
	}

	t.is(service.threshold, 0);
});

test.serial('a loop that is late all the time refuses within a second or two, the least urgent first, and nothing soon after it keeps up', t => {
	runLate(300, 1500);
	t.true(service.threshold > 0.3, `threshold ${service.threshold}`);
	t.true(service.threshold < 2, `threshold ${service.threshold}`);
	runLate(300, 10_000);
	t.true(service.threshold > 2, `threshold ${service.threshold}`);
	clock.tick(5000);
	t.is(service.threshold, 0);
});
