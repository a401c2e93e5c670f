import {Buffer} from 'node:buffer';
import test from 'ava';
import {v7} from 'uuid';
import {Deferred} from '../../../base/deferred.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {Execution} from '../../../base/execution.js';
import {MemberState} from '../../membership/member-state.js';
import {OwnershipService} from '../ownership-service.js';
import {makeRequest} from './mesh/make-request.js';
import {MeshBench} from './mesh/mesh-bench.js';

test.serial('a charge sent to several nodes at the same time is executed once and all get its answer', async t => {
	await MeshBench.with(3, async bench => {
		const outcomes = await bench.settle(Promise.all(bench.mesh.nodes.map(async node => bench.attempt(node))));
		t.deepEqual(outcomes, Array.from({length: 3}, () => ({answer: 'done order-1'})));
		t.is(bench.mesh.parts.backends.executions.length, 1);
		t.deepEqual(await bench.attempted(bench.mesh.nodes[2]), {answer: 'done order-1'});
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an id cannot be used for another request', async t => {
	await MeshBench.with(2, async bench => {
		await bench.attempted(bench.mesh.nodes[0]);
		const outcome = await bench.attempted(bench.mesh.nodes[1], makeRequest('order-1', {body: Buffer.from('other')}));
		t.is(outcome.kind, ErrorKind.KeyReused);
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an attempt from before a refusal is never executed, a later one is', async t => {
	await MeshBench.with(2, async bench => {
		const earlier = makeRequest('order-1', {}, {deadlineAtMs: Date.now() + 60_000});
		bench.mesh.parts.backends.shedShare = 1;
		t.deepEqual(await bench.attempted(bench.mesh.nodes[0]), {kind: ErrorKind.BackendShed, execution: Execution.NotRun, started: false});
		bench.mesh.parts.backends.shedShare = 0;
		t.deepEqual(await bench.attempted(bench.mesh.nodes[1], earlier), {kind: ErrorKind.StaleAttempt, execution: Execution.NotRun, started: false});
		t.is(bench.mesh.parts.backends.executions.length, 0);
		t.deepEqual(await bench.attempted(bench.mesh.nodes[1]), {answer: 'done order-1'});
	});
});

test.serial('an attempt that arrives after its deadline is never executed', async t => {
	await MeshBench.with(2, async bench => {
		const owner = bench.ownerOf('order-1');
		const entry = bench.otherThan(owner);
		owner.process.freeze();
		const outcome = bench.attempt(entry);
		await bench.pass(2500);
		owner.process.thaw();
		const {execution} = await bench.settle(outcome);
		t.is(execution, Execution.Unknown);
		t.is(bench.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('an execution that started and got no answer leaves the outcome unknown permanently', async t => {
	await MeshBench.with(2, async bench => {
		bench.mesh.parts.backends.failedShare = 1;
		t.deepEqual(await bench.attempted(bench.mesh.nodes[0]), {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: true});
		bench.mesh.parts.backends.failedShare = 0;
		t.deepEqual(await bench.attempted(bench.mesh.nodes[0]), {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: false});
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an owner whose lease has lapsed starts nothing', async t => {
	await MeshBench.with(2, async bench => {
		const owner = bench.ownerOf('order-1');
		owner.process.isStoreCut = true;
		await bench.pass(3000);
		t.false(owner.get(OwnershipService).isOwner('ledger', 'order-1'));
		const outcome = await bench.attempted(owner);
		t.is(outcome.execution, Execution.Unknown);
		t.false(outcome.started);
		t.is(bench.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('a frozen owner that resumes after a takeover starts nothing, and earlier outcomes stay unknown', async t => {
	await MeshBench.with(3, async bench => {
		const older = v7({msecs: Date.now()});
		const owner = bench.ownerOf(older);
		const entry = bench.otherThan(owner);
		owner.process.freeze();
		bench.mesh.tell(owner, MemberState.Dead);
		await bench.pass(10_000);
		t.not(bench.ownerOf(v7({msecs: Date.now()})), owner);
		const later = v7({msecs: Date.now()});
		const [unknown, fresh] = await bench.settle(Promise.all([bench.attempt(entry, makeRequest(older)), bench.attempt(entry, makeRequest(later))]));
		t.deepEqual(unknown, {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: false});
		t.deepEqual(fresh, {answer: `done ${later}`});
		const late = bench.attempt(owner, makeRequest(older, {}, {deadlineAtMs: Date.now() + 60_000}));
		owner.process.thaw();
		const {execution} = await bench.settle(late);
		t.is(execution, Execution.Unknown);
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an id without a timestamp is unknown for the retry horizon after a takeover, and for longer if it was requested in that time', async t => {
	await MeshBench.with(2, async bench => {
		const owner = bench.ownerOf('order-1');
		const other = bench.otherThan(owner);
		const neverAsked = ['order-2', 'order-3', 'order-4', 'order-5', 'order-6', 'order-7'].find(id => bench.ownerOf(id) === owner)!;
		void bench.mesh.kill(owner);
		await bench.pass(10_000);
		const soon = await bench.attempted(other);
		t.is(soon.execution, Execution.Unknown);
		await bench.pass(50_000);
		const afterHorizon = await bench.attempted(other);
		t.is(afterHorizon.execution, Execution.Unknown);
		t.deepEqual(await bench.attempted(other, makeRequest(neverAsked)), {answer: `done ${neverAsked}`});
	});
});

test.serial('time-ordered ids from the future or from before the retry horizon are never executed', async t => {
	await MeshBench.with(2, async bench => {
		const future = await bench.attempted(bench.mesh.nodes[0], makeRequest(v7({msecs: Date.now() + 1000})));
		const past = await bench.attempted(bench.mesh.nodes[0], makeRequest(v7({msecs: Date.now() - 61_000})));
		t.is(future.kind, ErrorKind.KeyExpired);
		t.is(past.kind, ErrorKind.KeyExpired);
		t.is(past.execution, Execution.Unknown);
		t.is(bench.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('owners keep their state through an outage of the store', async t => {
	await MeshBench.with(3, async bench => {
		await bench.attempted(bench.mesh.nodes[0]);
		bench.mesh.parts.store.isDown = true;
		await bench.pass(20_000);
		t.deepEqual(await bench.attempted(bench.mesh.nodes[1]), {answer: 'done order-1'});
		bench.mesh.parts.store.isDown = false;
		await bench.pass(10_000);
		t.deepEqual(await bench.attempted(bench.mesh.nodes[1], makeRequest('order-2')), {answer: 'done order-2'});
		t.is(bench.mesh.parts.backends.executions.length, 2);
	});
});

test.serial('losing the owner after sending leaves the outcome unknown, before sending it is known that this attempt started nothing', async t => {
	await MeshBench.with(2, async bench => {
		const owner = bench.ownerOf('order-1');
		const entry = bench.otherThan(owner);
		const sent = bench.attempt(entry);
		await bench.pass(15);
		bench.mesh.parts.conditions.cut(owner.nodeId, entry.nodeId);
		t.deepEqual(await bench.settle(sent), {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: undefined});
		t.deepEqual(await bench.attempted(entry, makeRequest('order-1')), {kind: ErrorKind.OwnerUnreachable, execution: Execution.Unknown, started: false});
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('a caller that disconnects cancels an execution that has not started, unless another attempt has joined it', async t => {
	await MeshBench.with(2, async bench => {
		bench.mesh.parts.backends.queueMs = 300;
		const [one, other] = bench.mesh.nodes;
		const leaving = new AbortController();
		const alone = bench.attempt(one, makeRequest('order-1'), leaving);
		const joined = bench.attempt(one, makeRequest('order-2'), leaving);
		const staying = bench.attempt(other, makeRequest('order-2'));
		await bench.pass(100);
		leaving.abort();
		t.deepEqual(await bench.settle(staying), {answer: 'done order-2'});
		const left = await Promise.all([alone, joined]);
		t.deepEqual(left.map(({execution}) => execution), [Execution.Unknown, Execution.Unknown]);
		t.deepEqual(bench.mesh.parts.backends.executions.map(({requestId}) => requestId), ['order-2']);
		t.deepEqual(await bench.attempted(other, makeRequest('order-1')), {answer: 'done order-1'});
	});
});

test.serial('an execution that has started continues when its caller disconnects, and its answer is stored', async t => {
	await MeshBench.with(2, async bench => {
		bench.mesh.parts.backends.workMs = 500;
		const leaving = new AbortController();
		const left = bench.attempt(bench.mesh.nodes[0], makeRequest('order-1'), leaving);
		await bench.pass(100);
		leaving.abort();
		await bench.settle(left);
		t.deepEqual(await bench.attempted(bench.mesh.nodes[1]), {answer: 'done order-1'});
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('a takeover whose swap is delayed until the owner has regained its lease has no effect', async t => {
	await MeshBench.with(2, async bench => {
		const owner = bench.ownerOf('order-1');
		const other = bench.otherThan(owner);
		const {conditions} = bench.mesh.parts;
		const delay = new Deferred<void>();
		conditions.heldSwapsOf = other.nodeId;
		conditions.heldSwaps = delay.promise;
		owner.process.isStoreCut = true;
		bench.mesh.tell(owner, MemberState.Dead);
		await bench.pass(6000);
		owner.process.isStoreCut = false;
		await bench.pass(6000);
		t.true(owner.get(OwnershipService).isOwner('ledger', 'order-1'));
		t.deepEqual(await bench.attempted(owner), {answer: 'done order-1'});
		delay.resolve();
		await bench.pass(6000);
		t.is(bench.ownerOf('order-1'), owner);
		t.deepEqual(await bench.attempted(other), {answer: 'done order-1'});
	});
});
