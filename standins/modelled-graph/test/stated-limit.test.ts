import test from 'ava';
import {createLahoreModel, lahoreDemand} from '../lahore-model.js';

const secondMs = 1000;
/** Time after the first statement of a limit from which it binds. */
const graceMs = 3 * secondMs;
const windowMs = 4 * secondMs;
/** Requests that the users allow in a window, for this limit. */
const maxInWindow = (requestsPerSecond: number) => (1.5 * requestsPerSecond * windowMs / secondMs) + 5;

/** The highest number of arrivals in any window after a time. */
function peakOf(arrivalsMs: readonly number[], fromMs: number): number {
	const counted = arrivalsMs.filter(atMs => atMs >= fromMs);
	return Math.max(0, ...counted.map((atMs, index) => counted.slice(index).filter(otherMs => otherMs < atMs + windowMs).length));
}

for (const requestsPerSecond of [30, 2.5]) {
	// Only the number of requests that run at once was bounded, so a backend server got far more requests than it asked for.
	test.serial(`backend servers get no more requests than the limit that they state, ${requestsPerSecond} a second`, async t => {
		const graph = createLahoreModel({seed: 3, messageMs: 0.25});
		t.teardown(() => {
			graph.dispose();
		});
		await graph.run(3 * secondMs, lahoreDemand(1));
		const scoreboards = graph.nodesOf('scoreboard');
		const limited = scoreboards.filter((_, index) => index !== 2);
		for (const {backend} of limited) {
			backend.statedLimit = requestsPerSecond;
		}

		const boundFromMs = performance.now() + graceMs;
		await graph.run(graceMs, lahoreDemand(1));
		const counts = await graph.run(8 * secondMs, lahoreDemand(1));
		for (const {backend} of limited) {
			const peak = peakOf(backend.arrivalsMs, boundFromMs);
			t.true(peak <= maxInWindow(requestsPerSecond), `${peak} of ${maxInWindow(requestsPerSecond)}`);
			t.true(peak > 0);
		}

		const {sent, withinGoal} = counts.get('booking')!;
		t.true(withinGoal / sent >= 0.95, `bookings served ${withinGoal / sent}`);

		for (const {backend} of limited) {
			backend.statedLimit = undefined;
		}

		await graph.run(5 * secondMs, lahoreDemand(1));
		const after = await graph.run(2 * secondMs, lahoreDemand(1));
		await graph.run(3 * secondMs, []);
		const lookups = after.get('lookup')!;
		t.true(lookups.withinGoal / lookups.sent >= 0.9, `lookups served after the limits ${lookups.withinGoal / lookups.sent}`);
	});
}
