import test from 'ava';
import {v7} from 'uuid';
import {MemberState} from '../../membership/member-state.js';
import {makeRequest} from '../../ownership/test/mesh/make-request.js';
import {MeshFixture} from '../../ownership/test/mesh/mesh-fixture.js';
import {type MeshNode} from '../../ownership/test/mesh/mesh-node.js';
import {OwnershipService} from '../../ownership/ownership-service.js';
import {RetryService} from '../retry-service.js';

const {signal} = new AbortController();

/** Retry total of the caller `clerk` in the policy of the mesh. */
const total = 3;

function contextOf(rootId: string) {
	return makeRequest(rootId).context;
}

async function grant(fixture: MeshFixture, node: MeshNode, rootId: string): Promise<boolean> {
	return fixture.settle(node.get(RetryService).grant(contextOf(rootId), signal));
}

async function admit(fixture: MeshFixture, node: MeshNode, rootId: string): Promise<boolean> {
	return fixture.settle(node.get(RetryService).admitAttempt(contextOf(rootId), signal));
}

test.serial('the retries of one root id stay within the retry total, whichever nodes ask for them', async t => {
	await MeshFixture.with(3, async fixture => {
		const asked = Array.from({length: 9}, async (_, index) => fixture.mesh.nodes[index % 3].get(RetryService).grant(contextOf('order-1'), signal));
		const granted = await fixture.settle(Promise.all(asked));
		t.is(granted.filter(Boolean).length, total);
		t.true(await grant(fixture, fixture.mesh.nodes[0], 'order-2'));
	});
});

test.serial('the first attempt of an id is free, retries at other nodes draw on the retry total', async t => {
	await MeshFixture.with(3, async fixture => {
		const admitted: boolean[] = [];
		for (let attempt = 0; attempt < total + 2; attempt++) {
			admitted.push(await admit(fixture, fixture.mesh.nodes[attempt % 3], 'order-1'));
		}

		t.deepEqual(admitted, [true, true, true, true, false]);
		t.false(await grant(fixture, fixture.mesh.nodes[0], 'order-1'));
	});
});

test.serial('a hand-over transfers the count of drawn retries', async t => {
	await MeshFixture.with(2, async fixture => {
		const owner = fixture.ownerOf('order-1');
		for (let draws = 0; draws < total; draws++) {
			t.true(await grant(fixture, owner, 'order-1'));
		}

		owner.membership.drain();
		fixture.mesh.gossip(owner, MemberState.Draining);
		await fixture.settle(owner.get(OwnershipService).handOver(signal));
		t.false(await grant(fixture, fixture.otherThan(owner), 'order-1'));
		t.true(await grant(fixture, fixture.otherThan(owner), 'order-2'));
	});
});

test.serial('after a takeover that lost the counts, older ids get no retries and later ids do', async t => {
	await MeshFixture.with(2, async fixture => {
		const older = v7({msecs: Date.now()});
		const owner = fixture.ownerOf(older);
		const other = fixture.otherThan(owner);
		await fixture.settle(fixture.mesh.kill(owner));
		await fixture.advance(5000);
		t.false(await grant(fixture, other, older));
		t.false(await admit(fixture, other, 'order-1') && await admit(fixture, other, 'order-4') && await admit(fixture, other, 'order-5'));
		t.true(await grant(fixture, other, v7({msecs: Date.now()})));
	});
});

test.serial('no retry is granted without a lease or when the owner cannot be reached', async t => {
	await MeshFixture.with(2, async fixture => {
		const owner = fixture.ownerOf('order-1');
		const other = fixture.otherThan(owner);
		fixture.mesh.parts.conditions.cut(owner.nodeId, other.nodeId);
		t.false(await grant(fixture, other, 'order-1'));
		t.true(await grant(fixture, owner, 'order-1'));
		fixture.mesh.parts.store.isDown = true;
		await fixture.advance(5000);
		t.false(await grant(fixture, owner, 'order-1'));
	});
});

test.serial('retries of a root id that a node minted are counted at that node, without shards or store', async t => {
	await MeshFixture.with(2, async fixture => {
		fixture.mesh.parts.store.isDown = true;
		await fixture.advance(5000);
		const [minter, other] = fixture.mesh.nodes;
		const {nodeId, incarnation} = minter.process;
		const context = {
			...contextOf('minted'), rootService: undefined, rootOwner: {nodeId, incarnation}, deadlineAtMs: Date.now() + 60_000,
		};
		const asked = Array.from({length: 5}, async () => other.get(RetryService).grant(context, signal));
		const granted = await fixture.settle(Promise.all(asked));
		t.is(granted.filter(Boolean).length, total);
	});
});

test.serial('a node\'s retries stay within the retry budget that its calls earn', async t => {
	await MeshFixture.with(2, async fixture => {
		const retries = fixture.mesh.nodes[0].get(RetryService);
		const ask = async (count: number) => {
			const asked = Array.from({length: count}, async () => retries.grant(contextOf(v7({msecs: Date.now()})), signal));
			const granted = await fixture.settle(Promise.all(asked));
			return granted.filter(Boolean).length;
		};

		t.is(await ask(30), 10);
		t.is(await ask(30), 0);
		for (let call = 0; call < 5; call++) {
			retries.recordCall();
		}

		t.is(await ask(30), 5);
	});
});
