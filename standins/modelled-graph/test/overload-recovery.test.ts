import test, {type ExecutionContext} from 'ava';
import {createLahoreModel, lahoreDemand, ledgerSlots} from '../lahore-model.js';
import {type ModelGraph, type ServedCounts} from '../model-graph.js';

/** Minimum served fraction that the users require for the worst class on such days. */
const minServedFraction = 0.29;
/** Maximum time that the users allow until requests are served as before a burst. */
const maxRecoveryMs = 15_000;
const secondMs = 1000;
/** Time in which all requests that were sent are answered, retries included. */
const allAnsweredMs = 3000;
function createGraph(t: ExecutionContext, seed: number, messageMs: number): ModelGraph {
	const graph = createLahoreModel({seed, messageMs});
	t.teardown(() => {
		graph.dispose();
	});
	return graph;
}

function servedFraction(counts: ReadonlyMap<string, ServedCounts>, route: string): number {
	const {sent, withinGoal} = counts.get(route)!;
	return withinGoal / sent;
}

for (const seed of [1, 2]) {
	test.serial(`the last ledger is fully used after the others were lost in a burst, seed ${seed}`, async t => {
		const graph = createGraph(t, seed, 0.25);
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
		const utilisation = last.backend.busyMs / (ledgerSlots * durationMs);
		await graph.run(allAnsweredMs, []);
		t.true(servedFraction(counts, 'lookup') >= minServedFraction, `lookups served ${servedFraction(counts, 'lookup')}`);
		t.true(servedFraction(counts, 'booking') >= 0.95, `bookings served ${servedFraction(counts, 'booking')}`);
		t.true(servedFraction(counts, 'charge') >= minServedFraction, `charges served ${servedFraction(counts, 'charge')}`);
		// Most requests are refused or wait, so free slots at the ledger mean that too many are refused.
		t.true(utilisation >= 0.75, `busy ${utilisation}`);
	});

	test.serial(`requests are served as before a burst within the recovery time, seed ${seed}`, async t => {
		// With this processor time for each message, the nodes themselves are nearly saturated in the burst.
		const graph = createGraph(t, seed, 0.35);
		await graph.run(3 * secondMs, lahoreDemand(1));
		await graph.run(5 * secondMs, lahoreDemand(2.5));
		await graph.run(maxRecoveryMs - (5 * secondMs), lahoreDemand(1));
		await graph.run(5 * secondMs, lahoreDemand(1));
		const counts = await graph.run(2 * secondMs, lahoreDemand(1));
		await graph.run(allAnsweredMs, []);
		for (const route of counts.keys()) {
			t.true(servedFraction(counts, route) >= 0.95, `${route} served ${servedFraction(counts, route)}`);
		}
	});

	test.serial(`bookings are served before lookups while every ledger sheds half of its requests, seed ${seed}`, async t => {
		const graph = createGraph(t, seed, 0.25);
		await graph.run(8 * secondMs, lahoreDemand(1));
		for (const {backend} of graph.nodesOf('ledger')) {
			backend.shedFraction = 0.55;
		}

		const counts = await graph.run(4 * secondMs, lahoreDemand(1));
		await graph.run(allAnsweredMs, []);
		t.true(servedFraction(counts, 'booking') >= minServedFraction, `bookings served ${servedFraction(counts, 'booking')}`);
		t.true(servedFraction(counts, 'booking') > servedFraction(counts, 'lookup'));
	});
}
