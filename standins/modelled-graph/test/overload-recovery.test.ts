import test, {type ExecutionContext} from 'ava';
import {createLahoreModel, lahoreDemand, ledgerSlots} from '../lahore-model.js';
import {type ModelGraph, type ServedCounts} from '../model-graph.js';

/** Users' floor for the worst class on days of this kind. */
const classFloor = 0.29;
/** Users' bound on the time until what was served before is served again. */
const recoveryMs = 15_000;
const secondMs = 1000;
/** Time after which all that was sent is answered, second attempts included. */
const answerMs = 3000;
function open(t: ExecutionContext, seed: number, messageMs: number): ModelGraph {
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
		const graph = open(t, seed, 0.25);
		await graph.run(3 * secondMs, lahoreDemand(1));
		await graph.run(secondMs, lahoreDemand(1.4));
		const [last, ...lost] = graph.nodesOf('ledger');
		for (const node of lost) {
			node.leave();
		}

		await graph.run(3 * secondMs, lahoreDemand(1.4));
		await graph.run(secondMs, lahoreDemand(1));
		last.backend.busyMs = 0;
		const durationMs = 4 * secondMs;
		const counts = await graph.run(durationMs, lahoreDemand(1));
		const busyShare = last.backend.busyMs / (ledgerSlots * durationMs);
		await graph.run(answerMs, []);
		t.true(servedShare(counts, 'lookup') >= classFloor, `lookups served ${servedShare(counts, 'lookup')}`);
		t.true(servedShare(counts, 'booking') >= 0.95, `bookings served ${servedShare(counts, 'booking')}`);
		t.true(servedShare(counts, 'charge') >= classFloor, `charges served ${servedShare(counts, 'charge')}`);
		// Most of what is asked for is refused or waits: a ledger with free slots means that too much is refused.
		t.true(busyShare >= 0.75, `busy ${busyShare}`);
	});

	test.serial(`what was served before a burst is served again within the time to recover, seed ${seed}`, async t => {
		// Nodes that are nearly busy themselves in the burst.
		const graph = open(t, seed, 0.35);
		await graph.run(3 * secondMs, lahoreDemand(1));
		await graph.run(5 * secondMs, lahoreDemand(2.5));
		await graph.run(recoveryMs - (5 * secondMs), lahoreDemand(1));
		await graph.run(5 * secondMs, lahoreDemand(1));
		const counts = await graph.run(2 * secondMs, lahoreDemand(1));
		await graph.run(answerMs, []);
		for (const route of counts.keys()) {
			t.true(servedShare(counts, route) >= 0.95, `${route} served ${servedShare(counts, route)}`);
		}
	});

	test.serial(`bookings are served before lookups while every ledger refuses half of what it is sent, seed ${seed}`, async t => {
		const graph = open(t, seed, 0.25);
		await graph.run(8 * secondMs, lahoreDemand(1));
		for (const {backend} of graph.nodesOf('ledger')) {
			backend.refusedShare = 0.55;
		}

		const counts = await graph.run(4 * secondMs, lahoreDemand(1));
		await graph.run(answerMs, []);
		t.true(servedShare(counts, 'booking') >= classFloor, `bookings served ${servedShare(counts, 'booking')}`);
		t.true(servedShare(counts, 'booking') > servedShare(counts, 'lookup'));
	});
}
