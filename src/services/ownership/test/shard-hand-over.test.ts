import {Buffer} from 'node:buffer';
import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {Execution} from '../../../base/execution.js';
import {MemberState} from '../../membership/member-state.js';
import {OwnershipService} from '../ownership-service.js';
import {makeRequest} from './mesh/make-request.js';
import {MeshBench} from './mesh/mesh-bench.js';
import {type MeshNode} from './mesh/mesh-node.js';

const {signal} = new AbortController();

async function leave(bench: MeshBench, node: MeshNode): Promise<void> {
	node.membership.drain();
	bench.mesh.tell(node, MemberState.Draining);
	await node.get(OwnershipService).handOver(signal);
}

test.serial('after a planned shutdown the successor answers, refuses and executes as the previous owner would have', async t => {
	await MeshBench.with(3, async bench => {
		const owner = bench.ownerOf('order-1');
		await bench.attempted(owner);
		await bench.settle(leave(bench, owner));
		await bench.settle(bench.mesh.kill(owner));
		t.not(bench.ownerOf('order-1'), owner);
		t.deepEqual(await bench.attempted(bench.otherThan(owner)), {answer: 'done order-1'});
		const reused = await bench.attempted(bench.otherThan(owner), makeRequest('order-1', {body: Buffer.from('other')}));
		t.is(reused.kind, ErrorKind.KeyReused);
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an attempt from before a refusal is not executed at the successor either', async t => {
	await MeshBench.with(2, async bench => {
		const earlier = makeRequest('order-1', {}, {deadlineAtMs: Date.now() + 60_000});
		const owner = bench.ownerOf('order-1');
		bench.mesh.parts.backends.shedShare = 1;
		await bench.attempted(owner);
		bench.mesh.parts.backends.shedShare = 0;
		await bench.settle(leave(bench, owner));
		const outcome = await bench.attempted(bench.otherThan(owner), earlier);
		t.is(outcome.execution, Execution.NotRun);
		t.is(bench.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('an attempt at the successor joins an execution that continues through the hand-over', async t => {
	await MeshBench.with(2, async bench => {
		bench.mesh.parts.backends.workMs = 1500;
		const owner = bench.ownerOf('order-1');
		const next = bench.otherThan(owner);
		const first = bench.attempt(owner, makeRequest('order-1', {}, {deadlineAtMs: Date.now() + 10_000}));
		await bench.pass(100);
		const left = leave(bench, owner);
		await bench.pass(500);
		t.is(bench.ownerOf('order-1'), next);
		const second = bench.attempt(next, makeRequest('order-1', {}, {deadlineAtMs: Date.now() + 10_000}));
		await bench.settle(left);
		t.deepEqual(await first, {answer: 'done order-1'});
		t.deepEqual(await second, {answer: 'done order-1'});
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('calls that arrive during a hand-over wait and are forwarded, none is lost', async t => {
	await MeshBench.with(3, async bench => {
		const owner = bench.ownerOf('order-1');
		const left = leave(bench, owner);
		const ids = Array.from({length: 20}, (_, index) => `order-${index}`);
		const outcomes = ids.map(async id => bench.attempt(owner, makeRequest(id)));
		await bench.settle(left);
		t.deepEqual(await Promise.all(outcomes), ids.map(id => ({answer: `done ${id}`})));
	});
});

test.serial('a hand-over reads the table when the result of its swap is lost', async t => {
	await MeshBench.with(2, async bench => {
		const owner = bench.ownerOf('order-1');
		bench.mesh.parts.conditions.lostStoreAnswerShare = 0.7;
		const left = leave(bench, owner);
		await bench.pass(3000);
		bench.mesh.parts.conditions.lostStoreAnswerShare = 0;
		await bench.settle(left);
		t.deepEqual(await bench.attempted(owner), {answer: 'done order-1'});
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an owner executes nothing for shards whose hand-over it cannot finish', async t => {
	await MeshBench.with(2, async bench => {
		const owner = bench.ownerOf('order-1');
		owner.process.isStoreCut = true;
		const left = leave(bench, owner);
		const outcome = await bench.attempted(owner);
		t.is(outcome.execution, Execution.Unknown);
		t.is(bench.mesh.parts.backends.executions.length, 0);
		owner.process.isStoreCut = false;
		await bench.settle(left);
	});
});

test.serial('a new node gets its target count of shards with their complete state', async t => {
	await MeshBench.with(2, async bench => {
		const ids = Array.from({length: 20}, (_, index) => `order-${index}`);
		await bench.settle(Promise.all(ids.map(async id => bench.attempt(bench.mesh.nodes[0], makeRequest(id)))));
		const added = await bench.settle(bench.mesh.add('node-2'));
		await bench.pass(10_000);
		const [summary] = added.get(OwnershipService).shards;
		t.deepEqual(Object.values(summary.shardsByNodeId).sort((one, other) => one - other), [2, 3, 3]);
		const outcomes = await bench.settle(Promise.all(ids.map(async id => bench.attempt(added, makeRequest(id)))));
		t.deepEqual(outcomes, ids.map(id => ({answer: `done ${id}`})));
		t.is(bench.mesh.parts.backends.executions.length, ids.length);
	});
});
