import test, {type ExecutionContext} from 'ava';
import {createLahoreModel, lahoreDemand, ledgerSlots} from '../lahore-model.js';
import {type ModelGraph, type ServedCounts} from '../model-graph.js';

/** Users' floor for the worst class on a day of this kind. */
const classFloor = 0.29;
/** Users' bound on the time until what was served before is served again. */
const recoveryMs = 15_000;
const secondMs = 1000;
/** Processor time of a node for each message. */
const messageMs = 0.25;

function open(t: ExecutionContext, seed: number): ModelGraph {
	const graph = createLahoreModel({seed, messageMs});
	t.teardown(() => {
		graph.dispose();
	});
	return graph;
}

function servedShare(counts: ReadonlyMap<string, ServedCounts>, route: string): number {
	const {asked, inGoal} = counts.get(route)!;
	return inGoal / asked;
}

for (const seed of [1, 2]) {
	test.serial(`what one ledger can do is done after the others were lost in a burst, seed ${seed}`, async t => {
		const graph = open(t, seed);
		await graph.run(3 * secondMs, lahoreDemand(1));
		await graph.run(secondMs, lahoreDemand(1.4));
		const [last, ...lost] = graph.nodesOf('ledger');
		for (const node of lost) {
			node.leave();
		}

		await graph.run(3 * secondMs, lahoreDemand(1.4));
		await graph.run(2 * secondMs, lahoreDemand(1));
		last.backend.busyMs = 0;
		const durationMs = 6 * secondMs;
		const counts = await graph.run(durationMs, lahoreDemand(1));
		const busyShare = last.backend.busyMs / (ledgerSlots * durationMs);
		t.true(servedShare(counts, 'lookup') >= classFloor, `lookups served ${servedShare(counts, 'lookup')}`);
		t.true(servedShare(counts, 'booking') >= 0.95, `bookings served ${servedShare(counts, 'booking')}`);
		t.true(servedShare(counts, 'charge') >= classFloor, `charges served ${servedShare(counts, 'charge')}`);
		// Most of what is asked for is refused or waits: a ledger with free slots means that too much is refused.
		t.true(busyShare >= 0.75, `busy ${busyShare}`);
	});

	test.serial(`what was served before a burst is served again within the time to recover, seed ${seed}`, async t => {
		const graph = open(t, seed);
		await graph.run(3 * secondMs, lahoreDemand(1));
		await graph.run(5 * secondMs, lahoreDemand(2.5));
		await graph.run(recoveryMs - (5 * secondMs), lahoreDemand(1));
		await graph.run(5 * secondMs, lahoreDemand(1));
		const counts = await graph.run(2 * secondMs, lahoreDemand(1));
		for (const route of counts.keys()) {
			t.true(servedShare(counts, route) >= 0.95, `${route} served ${servedShare(counts, route)}`);
		}
	});
}
