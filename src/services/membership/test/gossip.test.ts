import {type Clock} from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {MemberState} from '../member-state.js';
import {registrationPrefix} from '../registration-prefix.js';
import {DatagramNetwork} from './datagram-network.js';
import {pauseClock, TestNode, testSettings} from './membership-fixture.js';
import {MemoryStore} from './memory-store.js';

const announcement = {
	service: 'catalogue', port: 1, slots: 10, connections: 20, draining: false,
};

class Fleet {
	readonly store = new MemoryStore();
	readonly network = new DatagramNetwork();
	readonly nodes: TestNode[] = [];

	constructor(readonly clock: Clock) {}

	async add(nodeId: string, incarnation: string, changes = {}): Promise<TestNode> {
		const node = new TestNode(testSettings(nodeId, changes), incarnation, this.store, this.network);
		this.nodes.push(node);
		await node.start();
		node.membership.announce(announcement);
		return node;
	}

	async addMany(count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			await this.add(`node-${index}`, `run-1-${String(index).padStart(4, '0')}`, {availabilityZone: `zone-${index % 2}`});
		}

		await this.clock.tickAsync(5000);
	}

	/** Number of other nodes that would send requests to a node. */
	senders(nodeId: string): number {
		return this.nodes.filter(node => node.settings.nodeId !== nodeId
			&& node.membership.upstreams('catalogue').some(member => member.nodeId === nodeId)).length;
	}

	states(nodeId: string): MemberState[] {
		return this.nodes.flatMap(node => node.membership.members.find(member => member.nodeId === nodeId)?.state ?? []);
	}

	dispose(): void {
		for (const node of this.nodes) {
			node.kill();
		}

		this.clock.uninstall();
	}
}

const fleetTest = (title: string, body: (t: ExecutionContext, fleet: Fleet) => Promise<void>) => {
	test.serial(title, async t => {
		const fleet = new Fleet(pauseClock());
		try {
			await body(t, fleet);
		} finally {
			fleet.dispose();
		}
	});
};

fleetTest('a drain is known to all nodes within 2 s despite datagram loss and a store outage', async (t, fleet) => {
	await fleet.addMany(40);
	t.is(fleet.senders('node-3'), 39);
	fleet.store.setUnreachable(true);
	let datagrams = 0;
	fleet.network.isLost = () => {
		datagrams++;
		return datagrams % 10 === 0;
	};

	fleet.nodes[3].membership.announce({...announcement, draining: true});
	await fleet.clock.tickAsync(2000);
	t.is(fleet.senders('node-3'), 0);
});

fleetTest('the drain check fails if nodes trust the health endpoint instead of the member state', async (t, fleet) => {
	await fleet.addMany(10);
	const isHealthy = (nodeId: string) => fleet.states(nodeId).length > 0;
	for (const {membership} of fleet.nodes) {
		membership.upstreams = service => membership.members.filter(member => member.service === service && isHealthy(member.nodeId));
	}

	fleet.nodes[3].membership.announce({...announcement, draining: true});
	await fleet.clock.tickAsync(2000);
	t.is(fleet.senders('node-3'), 9);
});

fleetTest('a killed node is suspected, then declared dead, but only the store shows that it is deregistered', async (t, fleet) => {
	await fleet.addMany(12);
	const {incarnation} = fleet.nodes[5];
	fleet.nodes[5].kill();
	await fleet.clock.tickAsync(4000);
	t.is(fleet.senders('node-5'), 0);
	t.false(await fleet.nodes[0].membership.isDeregistered('node-5', incarnation, new AbortController().signal));
	await fleet.clock.tickAsync(8000);
	t.true(await fleet.nodes[0].membership.isDeregistered('node-5', incarnation, new AbortController().signal));
	fleet.nodes.splice(5, 1);
	t.deepEqual(new Set(fleet.states('node-5')), new Set([MemberState.Dead]));
});

fleetTest('availability zones that are partitioned keep the members that they reach, and learn of the other members and their drains afterwards', async (t, fleet) => {
	await fleet.addMany(16);
	fleet.network.isLost = (from, to) => from % 2 !== to % 2;
	await fleet.clock.tickAsync(30_000);
	t.is(fleet.nodes[0].membership.upstreams('catalogue').length, 8);
	t.is(fleet.nodes[1].membership.upstreams('catalogue').length, 8);

	fleet.nodes[3].membership.announce({...announcement, draining: true});
	fleet.network.isLost = () => false;
	await fleet.clock.tickAsync(20_000);
	t.is(fleet.senders('node-3'), 0);
	t.is(fleet.nodes[0].membership.upstreams('catalogue').length, 15);
	t.is(fleet.nodes[1].membership.upstreams('catalogue').length, 15);
});

fleetTest('a false suspicion is refuted by a higher revision', async (t, fleet) => {
	await fleet.addMany(6);
	fleet.network.isLost = (_from, to) => to === 2;
	await fleet.clock.tickAsync(3000);
	t.true(fleet.states('node-1').some(state => state === MemberState.Suspect || state === MemberState.Dead));
	const {revision} = fleet.nodes[1].membership.self;
	fleet.network.isLost = () => false;
	await fleet.clock.tickAsync(4000);
	t.true(fleet.nodes[1].membership.self.revision > revision);
	t.deepEqual(new Set(fleet.states('node-1')), new Set([MemberState.Serving]));
});

fleetTest('a newer incarnation of a node replaces an older one and never the reverse', async (t, fleet) => {
	await fleet.addMany(5);
	const old = fleet.nodes[4];
	const restarted = await fleet.add('node-4', 'run-2-0004');
	await fleet.clock.tickAsync(3000);
	t.is(fleet.nodes[0].membership.find('node-4')?.incarnation, 'run-2-0004');
	old.membership.announce({...announcement, slots: 99});
	await fleet.clock.tickAsync(3000);
	t.is(fleet.nodes[0].membership.find('node-4')?.incarnation, 'run-2-0004');
	t.false(old.lease.isHeld(), 'an incarnation that learns of a newer one no longer holds its lease');
	await fleet.clock.tickAsync(5000);
	t.true(restarted.lease.isHeld());
	const {signal} = new AbortController();
	t.false(await fleet.nodes[0].membership.isDeregistered('node-4', restarted.incarnation, signal));
	t.true(await fleet.nodes[0].membership.isDeregistered('node-4', old.incarnation, signal));
});

fleetTest('a restarted node registers only after the lease of its previous incarnation has ended', async (t, fleet) => {
	await fleet.addMany(3);
	const [, previous] = fleet.nodes;
	fleet.network.isLost = (from, to) => from === 2 || to === 2;
	const restarted = await fleet.add('node-1', 'run-2-0001');
	await fleet.clock.tickAsync(15_000);
	t.true(previous.lease.isHeld());
	t.false(restarted.lease.isHeld());
	previous.kill();
	await fleet.clock.tickAsync(15_000);
	t.true(restarted.lease.isHeld());
});

fleetTest('a node joins through seed addresses while the store is unreachable', async (t, fleet) => {
	await fleet.addMany(6);
	fleet.store.setUnreachable(true);
	const joined = await fleet.add('node-9', 'run-1-0009', {seedAddresses: ['127.0.0.1:3']});
	await fleet.clock.tickAsync(8000);
	t.is(joined.membership.members.length, 7);
	t.is(fleet.senders('node-9'), 6);
});

fleetTest('a policy version and a planned shutdown reach all nodes within 1 s', async (t, fleet) => {
	await fleet.addMany(30);
	fleet.nodes[0].policy.recordPeerVersion(2);
	await fleet.clock.tickAsync(1000);
	t.deepEqual(new Set(fleet.nodes.map(node => node.policy.version)), new Set([2]));
	const leaving = fleet.nodes[7].membership.leave(new AbortController().signal);
	await fleet.clock.tickAsync(1000);
	await leaving;
	t.is(fleet.senders('node-7'), 0);
	t.is(fleet.states('node-7').filter(state => state === MemberState.Left).length, 30);
});

// A node that asked a member for its record got the version with the record, and then took the announced version for a known one.
fleetTest('a policy version that arrives with a member record is adopted', async (t, fleet) => {
	await fleet.addMany(2);
	const [changed, other] = fleet.nodes;
	fleet.network.isLost = () => true;
	changed.policy.recordPeerVersion(2);
	changed.membership.announce({...announcement, slots: 20});
	await fleet.clock.tickAsync(600);
	fleet.network.isLost = () => false;
	await fleet.clock.tickAsync(2000);
	t.is(other.membership.find('node-0')?.slots, 20);
	t.is(other.policy.version, 2);
});

fleetTest('a draining node keeps gossiping after its start signal is aborted', async (t, fleet) => {
	await fleet.addMany(20);
	fleet.nodes[4].abortStart();
	fleet.nodes[4].membership.drain();
	await fleet.clock.tickAsync(1000);
	t.is(fleet.states('node-4').filter(state => state === MemberState.Draining).length, 20);
	await fleet.clock.tickAsync(10_000);
	t.is(fleet.states('node-4').filter(state => state === MemberState.Draining).length, 20);
});

fleetTest('malformed datagrams are dropped and counted', async (t, fleet) => {
	await fleet.addMany(2);
	const from = {address: '127.0.0.1', gossipPort: 1};
	for (const text of ['', 'x', '[]', '["p",1]', '["p",-1,"a","b",1,1,"",[]]', 'x'.repeat(1300)]) {
		fleet.network.deliver(text, from, {address: '127.0.0.1', gossipPort: 2});
	}

	await fleet.clock.tickAsync(100);
	t.is(fleet.nodes[1].metrics.counters['gossip.malformed'], 6);
});

const wellFormed = {
	nodeId: 'odd', incarnation: 'run-1', address: '127.0.0.1', peerPort: 1, gossipPort: 900, callerPort: 1, availabilityZone: 'zone-0', region: 'test', state: 'serving',
	service: 'other', slots: 1, connections: 1, policyVersion: 1, revision: 1,
};
const oddRegistrations: ReadonlyArray<readonly [name: string, value: string]> = [
	['is very deeply nested', `${'['.repeat(100_000)}${']'.repeat(100_000)}`],
	['is nested deeply in a field', `{"nodeId":${'{"a":'.repeat(50_000)}1${'}'.repeat(50_000)}}`],
	['has a number that is too large', JSON.stringify(wellFormed).replace('"slots":1', '"slots":1e400')],
	['has a port out of range', JSON.stringify({...wellFormed, gossipPort: 70_000})],
	['has a name longer than a datagram', JSON.stringify({...wellFormed, region: 'x'.repeat(5000)})],
	['has a name that peers reject', JSON.stringify({...wellFormed, availabilityZone: ''})],
];

for (const [name, value] of oddRegistrations) {
	// Another writer's entry could pass the check of registrations but not that of datagrams, and was then queued for broadcast before the others.
	fleetTest(`a registration that ${name} does not keep nodes from following the others`, async (t, fleet) => {
		await fleet.addMany(8);
		await fleet.store.compareAndSwap(`${registrationPrefix}odd`, 0, value);
		await fleet.clock.tickAsync(100);
		fleet.store.setUnreachable(true);
		fleet.nodes[3].membership.announce({...announcement, draining: true});
		await fleet.clock.tickAsync(2000);
		t.is(fleet.senders('node-3'), 0);
		t.deepEqual(fleet.states('odd'), []);
	});
}

fleetTest('two nodes of each availability zone watch the registrations', async (t, fleet) => {
	await fleet.addMany(20);
	await fleet.clock.tickAsync(10_000);
	t.is(fleet.store.watchCount(registrationPrefix), 4);
	fleet.nodes[0].kill();
	await fleet.clock.tickAsync(30_000);
	t.is(fleet.store.watchCount(registrationPrefix), 4);
});
