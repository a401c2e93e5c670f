import {type Clock, install} from '@sinonjs/fake-timers';
import test from 'ava';
import {DemandByRank} from '../demand-by-rank.js';

let clock: Clock;

test.beforeEach(() => {
	clock = install();
});

test.afterEach.always(() => {
	clock.uninstall();
});

test.serial('the fraction above a rank is the demand of higher ranks, whatever gaps there are between them', t => {
	const demand = new DemandByRank();
	t.is(demand.fractionAbove(0), 0);
	demand.record(0.1, 5);
	demand.record(0.1, 5);
	demand.record(3.2, 30);
	t.is(demand.fractionAbove(3.5), 0);
	for (const rank of [0.5, 1, 2, 3]) {
		t.is(demand.fractionAbove(rank), 0.75);
	}

	t.is(demand.fractionAbove(0), 1);
});

test.serial('the demand of a class without further requests decays within seconds', t => {
	const demand = new DemandByRank();
	demand.record(3, 100);
	for (let index = 0; index < 100; index++) {
		clock.tick(100);
		demand.record(0.5, 1);
	}

	t.true(demand.fractionAbove(1) < 0.2, `fraction ${demand.fractionAbove(1)}`);
});
