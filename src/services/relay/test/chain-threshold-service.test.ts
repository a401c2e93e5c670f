import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {type ThresholdService} from '../../admission/threshold-service.js';
import {DelayThresholdService} from '../../admission/delay-threshold-service.js';
import {ChainThresholdService} from '../chain-threshold-service.js';

const stepMs = 10;
const runMs = 30;
const slots = 40;
/** Roots that come each step, calls of each, and the time over which it makes them one by one. */
const rootsPerStep = 5;
const callsPerRoot = 8;
const callGapMs = 120;

/** Lets roots of one rank in by a threshold in front of a queue; returns the greatest and the mean share that is let in after a while. */
function simulate(threshold: ThresholdService, tick: (durationMs: number) => void) {
	const arrivals: number[] = [];
	let queued = 0;
	const admittedShares: number[] = [];
	for (let step = 0; step < 3000; step++) {
		const share = Math.max(0, Math.min(1, 1 - threshold.threshold));
		admittedShares.push(share);
		for (let call = 0; call < callsPerRoot; call++) {
			const at = step + (call * callGapMs / stepMs);
			arrivals[at] = (arrivals[at] ?? 0) + (rootsPerStep * share);
		}

		const served = slots * stepMs / runMs;
		queued = Math.max(0, queued + (arrivals[step] ?? 0) - served);
		tick(stepMs);
		threshold.observe({oldestWaitMs: queued * runMs / slots, isFull: queued > 0, ownTimeMs: runMs});
	}

	const late = admittedShares.slice(1000);
	return {greatest: Math.max(...late), least: Math.min(...late)};
}

test('below a deep chain the threshold settles where there is room, and does not swing between all and nothing', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const tick = (durationMs: number) => {
		clock.tick(durationMs);
	};

	const chain = simulate(new ChainThresholdService(), tick);
	t.true(chain.greatest < 0.75);
	t.true(chain.least > 0);
	const fast = simulate(new DelayThresholdService(), tick);
	t.true(fast.greatest - fast.least > chain.greatest - chain.least);
});
