import {install} from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {BackendAdmittedShare} from '../backend-admitted-share.js';

const stepMs = 10;
const executionMs = 30;
const slots = 40;
/** Calls of each root request, and the time between them. */
const callsPerRoot = 8;
const callGapMs = 120;
const servedPerStep = slots * stepMs / executionMs;

/** Simulates a queue whose root requests are admitted by the share. The demand is a multiple of the capacity. Returns the share and the utilisation of the slots at each step. */
function simulate(t: ExecutionContext, demandOf: (step: number) => number, steps: number) {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const offered = new BackendAdmittedShare();
	const arrivals: number[] = [];
	const shares: number[] = [];
	const utilisations: number[] = [];
	let queued = 0;
	let pendingArrivals = 0;
	for (let step = 0; step < steps; step++) {
		shares.push(offered.share);
		for (let call = 0; call < callsPerRoot; call++) {
			const at = step + (call * callGapMs / stepMs);
			arrivals[at] = (arrivals[at] ?? 0) + (demandOf(step) * servedPerStep / callsPerRoot * offered.share);
		}

		for (pendingArrivals += arrivals[step] ?? 0; pendingArrivals >= 1; pendingArrivals--) {
			offered.recordArrival();
			queued++;
		}

		const served = Math.min(queued, servedPerStep);
		utilisations.push(served / servedPerStep);
		queued -= served;
		clock.tick(stepMs);
		offered.observe({
			limit: slots, waiting: queued, meanRunMs: executionMs, processorShare: 0,
		});
	}

	return {shares, utilisations};
}

test.serial('at the end of a deep chain the share settles where the slots are busy, and does not oscillate between all and nothing', t => {
	const {shares, utilisations} = simulate(t, () => 3, 3000);
	const settled = shares.slice(1000);
	t.true(Math.max(...settled) < 0.45, `maximum ${Math.max(...settled)}`);
	t.true(Math.min(...settled) > 0.2, `minimum ${Math.min(...settled)}`);
	const settledUtilisations = utilisations.slice(1000);
	t.true(settledUtilisations.reduce((total, utilisation) => total + utilisation, 0) / settledUtilisations.length > 0.85);
});

test.serial('demand within the capacity of the slots is fully admitted', t => {
	t.true(Math.min(...simulate(t, () => 0.8, 1000).shares.slice(200)) > 0.9);
});

test.serial('after an overload all requests are admitted again within seconds', t => {
	const {shares} = simulate(t, step => step < 1000 ? 3 : 0.5, 1500);
	t.true(shares[999] < 0.45, `share ${shares[999]}`);
	t.true(Math.min(...shares.slice(1400)) > 0.95, `minimum ${Math.min(...shares.slice(1400))}`);
});

test.serial('a node whose own processor is always busy admits less even with free slots, and everything again when the processor is no longer busy', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const offered = new BackendAdmittedShare();
	const observe = (processorShare: number, forMs: number) => {
		for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 100) {
			clock.tick(100);
			offered.observe({
				limit: slots, waiting: 0, meanRunMs: executionMs, processorShare,
			});
		}
	};

	observe(1, 2000);
	t.true(offered.share < 0.5, `share ${offered.share}`);
	observe(0.5, 5000);
	t.is(offered.share, 1);
	observe(0.95, 5000);
	t.is(offered.share, 1, 'a processor that is mostly but not always busy');
});

test.serial('a single busy observation after a pause reduces the share only slightly', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const offered = new BackendAdmittedShare();
	clock.tick(10_000);
	offered.observe({
		limit: slots, waiting: 0, meanRunMs: executionMs, processorShare: 1,
	});
	t.true(offered.share > 0.85, `share ${offered.share}`);
});
