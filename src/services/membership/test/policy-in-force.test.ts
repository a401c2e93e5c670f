import test, {type ExecutionContext} from 'ava';
import {pauseClock} from './membership-fixture.js';
import {PolicyFleet} from './policy-fleet.js';

/** Least time within which a confirmed version must be in force at every node that the platform reaches. */
const inForceMs = 2000;
/** Time within which a change must be in force if the settings don't state one. */
const boundMs = 3000;
/** Interval at which each node renews its watch, which is a call to the store. */
const watchRenewalMs = 10_000;
/** Share of the nodes that the store turns away in some tests. */
const turnedAwayShare = 0.35;

const fleetTest = (title: string, body: (t: ExecutionContext, fleet: PolicyFleet, tick: (durationMs: number) => Promise<void>) => Promise<void>) => {
	test.serial(title, async t => {
		const clock = pauseClock();
		const fleet = new PolicyFleet(clock);
		try {
			await body(t, fleet, async durationMs => {
				await clock.tickAsync(durationMs);
			});
		} finally {
			fleet.dispose();
		}
	});
};

// Nodes that start together spend their gossip byte budgets on each other's records; versions were announced only with what was left.
fleetTest('a policy change soon after a mass start is in force within 2 s also at nodes that the store turns away', async (t, fleet, tick) => {
	await fleet.changePolicy();
	await fleet.start(79, 2000);
	await tick(12_000);
	t.deepEqual(fleet.nodesBehind(), []);
	for (const {store} of fleet.nodes.filter((_, index) => index % 20 < 20 * turnedAwayShare)) {
		store.isTurnedAway = true;
	}

	fleet.network.isLost = loseEvery(10);
	await tick(300);
	await fleet.changePolicy();
	await tick(inForceMs);
	t.deepEqual(fleet.nodesBehind(), []);
});

// Only two nodes of each availability zone watched the store, so the bound held for the others as far as gossip reached them.
fleetTest('a policy change is in force within 2 s at nodes that no gossip reaches', async (t, fleet, tick) => {
	await fleet.changePolicy();
	await fleet.start(20, 300);
	await tick(30_000);
	fleet.network.isLost = () => true;
	await fleet.changePolicy();
	await tick(inForceMs);
	t.deepEqual(fleet.nodesBehind(), []);
});

// A silent watch was renewed after 10 s, whatever the settings say of the time within which a change has to be in force.
fleetTest('a policy change is in force within its bound at nodes whose watches are silent and that no gossip reaches', async (t, fleet, tick) => {
	await fleet.changePolicy();
	await fleet.start(20, 300);
	await tick(30_000);
	fleet.network.isLost = () => true;
	silenceWatches(fleet);

	await fleet.changePolicy();
	await tick(boundMs);
	t.deepEqual(fleet.nodesBehind(), []);
});

// Guards against CONFIG: nodes with silent watches took each other's equal version for a confirmation of the store.
fleetTest('a policy change is in force within its bound at nodes whose watches are all silent and that hear of each other', async (t, fleet, tick) => {
	await fleet.changePolicy();
	await fleet.start(20, 300);
	await tick(30_000);
	silenceWatches(fleet);
	await tick(3050);
	await fleet.changePolicy();
	await tick(boundMs);
	t.deepEqual(fleet.nodesBehind(), []);
});

fleetTest('policy changes are in force within their bound while watches stay silent and one in ten datagrams is lost', async (t, fleet, tick) => {
	await fleet.changePolicy();
	await fleet.start(79, 2000);
	await tick(12_000);
	silenceWatches(fleet);
	fleet.network.isLost = loseEvery(10);
	for (const pauseMs of [3000, 3333, 4100]) {
		await tick(pauseMs);
		await fleet.changePolicy();
		await tick(boundMs);
		t.deepEqual(fleet.nodesBehind(), [], `after a pause of ${pauseMs} ms`);
	}
});

// A peer that the store turns away has nothing to confirm, however often it is heard.
fleetTest('a policy change is in force within its bound at a node with a silent watch that hears only nodes that the store turns away', async (t, fleet, tick) => {
	await fleet.changePolicy();
	await fleet.start(20, 300);
	await tick(30_000);
	silenceWatches(fleet);
	for (const {store} of fleet.nodes.slice(1)) {
		store.isTurnedAway = true;
	}

	await tick(3050);
	await fleet.changePolicy();
	await tick(boundMs);
	t.false(fleet.nodesBehind().includes(0));
});

for (const nodeCount of [20, 79]) {
	fleetTest(`${nodeCount} nodes read the policy from the store less often than they renew their watches`, async (t, fleet, tick) => {
		const durationMs = 60_000;
		await fleet.changePolicy();
		await fleet.start(nodeCount, 2000);
		await tick(12_000);
		const before = fleet.store.calls.get('list')!;
		await tick(durationMs);
		const reads = fleet.store.calls.get('list')! - before;
		t.true(reads > 0);
		t.true(reads < nodeCount * durationMs / watchRenewalMs, `${reads} reads`);
	});
}

function silenceWatches(fleet: PolicyFleet): void {
	for (const {store} of fleet.nodes) {
		store.isWatchSilent = true;
	}
}

/** Loses one in `count` datagrams. */
function loseEvery(count: number): () => boolean {
	let datagrams = 0;
	return () => {
		datagrams++;
		return datagrams % count === 0;
	};
}
