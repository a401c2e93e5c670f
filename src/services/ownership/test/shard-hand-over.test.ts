import {Buffer} from 'node:buffer';
import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {Execution} from '../../../base/execution.js';
import {MemberState} from '../../membership/member-state.js';
import {OwnershipService} from '../ownership-service.js';
import {makeRequest} from './mesh/make-request.js';
import {MeshFixture} from './mesh/mesh-fixture.js';
import {type MeshNode} from './mesh/mesh-node.js';

const {signal} = new AbortController();

async function leave(fixture: MeshFixture, node: MeshNode): Promise<void> {
	node.membership.drain();
	fixture.mesh.gossip(node, MemberState.Draining);
	await node.get(OwnershipService).handOver(signal);
}

test.serial('after a planned shutdown the successor answers, refuses and executes as the previous owner would have', async t => {
	await MeshFixture.with(3, async fixture => {
		const owner = fixture.ownerOf('order-1');
		await fixture.attemptAndSettle(owner);
		await fixture.settle(leave(fixture, owner));
		await fixture.settle(fixture.mesh.kill(owner));
		t.not(fixture.ownerOf('order-1'), owner);
		t.deepEqual(await fixture.attemptAndSettle(fixture.otherThan(owner)), {answer: 'done order-1'});
		const reused = await fixture.attemptAndSettle(fixture.otherThan(owner), makeRequest('order-1', {body: Buffer.from('other')}));
		t.is(reused.kind, ErrorKind.KeyReused);
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an attempt from before a refusal is not executed at the successor either', async t => {
	await MeshFixture.with(2, async fixture => {
		const earlier = makeRequest('order-1', {}, {deadlineAtMs: Date.now() + 60_000});
		const owner = fixture.ownerOf('order-1');
		fixture.mesh.parts.backends.shedShare = 1;
		await fixture.attemptAndSettle(owner);
		fixture.mesh.parts.backends.shedShare = 0;
		await fixture.settle(leave(fixture, owner));
		const outcome = await fixture.attemptAndSettle(fixture.otherThan(owner), earlier);
		t.is(outcome.execution, Execution.NotRun);
		t.is(fixture.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('an attempt at the successor joins an execution that continues through the hand-over', async t => {
	await MeshFixture.with(2, async fixture => {
		fixture.mesh.parts.backends.workMs = 1500;
		const owner = fixture.ownerOf('order-1');
		const next = fixture.otherThan(owner);
		const first = fixture.attempt(owner, makeRequest('order-1', {}, {deadlineAtMs: Date.now() + 10_000}));
		await fixture.advance(100);
		const left = leave(fixture, owner);
		await fixture.advance(500);
		t.is(fixture.ownerOf('order-1'), next);
		const second = fixture.attempt(next, makeRequest('order-1', {}, {deadlineAtMs: Date.now() + 10_000}));
		await fixture.settle(left);
		t.deepEqual(await first, {answer: 'done order-1'});
		t.deepEqual(await second, {answer: 'done order-1'});
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('calls that arrive during a hand-over wait and are forwarded, none is lost', async t => {
	await MeshFixture.with(3, async fixture => {
		const owner = fixture.ownerOf('order-1');
		const left = leave(fixture, owner);
		const ids = Array.from({length: 20}, (_, index) => `order-${index}`);
		const outcomes = ids.map(async id => fixture.attempt(owner, makeRequest(id)));
		await fixture.settle(left);
		t.deepEqual(await Promise.all(outcomes), ids.map(id => ({answer: `done ${id}`})));
	});
});

test.serial('a hand-over reads the table when the result of its swap is lost', async t => {
	await MeshFixture.with(2, async fixture => {
		const owner = fixture.ownerOf('order-1');
		fixture.mesh.parts.conditions.lostStoreResultRate = 0.7;
		const left = leave(fixture, owner);
		await fixture.advance(3000);
		fixture.mesh.parts.conditions.lostStoreResultRate = 0;
		await fixture.settle(left);
		t.deepEqual(await fixture.attemptAndSettle(owner), {answer: 'done order-1'});
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an owner executes nothing for shards whose hand-over it cannot finish', async t => {
	await MeshFixture.with(2, async fixture => {
		const owner = fixture.ownerOf('order-1');
		owner.process.isStoreCut = true;
		const left = leave(fixture, owner);
		const outcome = await fixture.attemptAndSettle(owner);
		t.is(outcome.execution, Execution.Unknown);
		t.is(fixture.mesh.parts.backends.executions.length, 0);
		owner.process.isStoreCut = false;
		await fixture.settle(left);
	});
});

test.serial('a new node gets its target count of shards with their complete state', async t => {
	await MeshFixture.with(2, async fixture => {
		const ids = Array.from({length: 20}, (_, index) => `order-${index}`);
		await fixture.settle(Promise.all(ids.map(async id => fixture.attempt(fixture.mesh.nodes[0], makeRequest(id)))));
		const added = await fixture.settle(fixture.mesh.add('node-2'));
		await fixture.advance(10_000);
		const [summary] = added.get(OwnershipService).shards;
		t.deepEqual(Object.values(summary.shardsByNodeId).sort((one, other) => one - other), [2, 3, 3]);
		const outcomes = await fixture.settle(Promise.all(ids.map(async id => fixture.attempt(added, makeRequest(id)))));
		t.deepEqual(outcomes, ids.map(id => ({answer: `done ${id}`})));
		t.is(fixture.mesh.parts.backends.executions.length, ids.length);
	});
});
