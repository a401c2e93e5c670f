import {Buffer} from 'node:buffer';
import test from 'ava';
import {v7} from 'uuid';
import {Deferred} from '../../../base/deferred.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {Execution} from '../../../base/execution.js';
import {MemberState} from '../../membership/member-state.js';
import {OwnershipService} from '../ownership-service.js';
import {makeRequest} from './mesh/make-request.js';
import {MeshFixture} from './mesh/mesh-fixture.js';

test.serial('a charge sent to several nodes at the same time is executed once and all get its answer', async t => {
	await MeshFixture.with(3, async fixture => {
		const outcomes = await fixture.settle(Promise.all(fixture.mesh.nodes.map(async node => fixture.attempt(node))));
		t.deepEqual(outcomes, Array.from({length: 3}, () => ({answer: 'done order-1'})));
		t.is(fixture.mesh.parts.backends.executions.length, 1);
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[2]), {answer: 'done order-1'});
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an id cannot be used for another request', async t => {
	await MeshFixture.with(2, async fixture => {
		await fixture.attemptAndSettle(fixture.mesh.nodes[0]);
		const outcome = await fixture.attemptAndSettle(fixture.mesh.nodes[1], makeRequest('order-1', {body: Buffer.from('other')}));
		t.is(outcome.kind, ErrorKind.KeyReused);
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an attempt from before a refusal is never executed, a later one is', async t => {
	await MeshFixture.with(2, async fixture => {
		const earlier = makeRequest('order-1', {}, {deadlineAtMs: Date.now() + 60_000});
		fixture.mesh.parts.backends.shedShare = 1;
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[0]), {kind: ErrorKind.BackendShed, execution: Execution.NotRun, started: false});
		fixture.mesh.parts.backends.shedShare = 0;
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[1], earlier), {kind: ErrorKind.StaleAttempt, execution: Execution.NotRun, started: false});
		t.is(fixture.mesh.parts.backends.executions.length, 0);
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[1]), {answer: 'done order-1'});
	});
});

test.serial('an attempt that arrives after its deadline is never executed', async t => {
	await MeshFixture.with(2, async fixture => {
		const owner = fixture.ownerOf('order-1');
		const entry = fixture.otherThan(owner);
		owner.process.freeze();
		const outcome = fixture.attempt(entry);
		await fixture.advance(2500);
		owner.process.thaw();
		const {execution} = await fixture.settle(outcome);
		t.is(execution, Execution.Unknown);
		t.is(fixture.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('an execution that started and got no answer leaves the outcome unknown permanently', async t => {
	await MeshFixture.with(2, async fixture => {
		fixture.mesh.parts.backends.failureRate = 1;
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[0]), {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: true});
		fixture.mesh.parts.backends.failureRate = 0;
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[0]), {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: false});
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an owner whose lease has lapsed starts nothing', async t => {
	await MeshFixture.with(2, async fixture => {
		const owner = fixture.ownerOf('order-1');
		owner.process.isStoreCut = true;
		await fixture.advance(3000);
		t.false(owner.get(OwnershipService).isOwner('ledger', 'order-1'));
		const outcome = await fixture.attemptAndSettle(owner);
		t.is(outcome.execution, Execution.Unknown);
		t.false(outcome.started);
		t.is(fixture.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('a frozen owner that resumes after a takeover starts nothing, and earlier outcomes stay unknown', async t => {
	await MeshFixture.with(3, async fixture => {
		const older = v7({msecs: Date.now()});
		const owner = fixture.ownerOf(older);
		const entry = fixture.otherThan(owner);
		owner.process.freeze();
		fixture.mesh.gossip(owner, MemberState.Dead);
		await fixture.advance(10_000);
		t.not(fixture.ownerOf(v7({msecs: Date.now()})), owner);
		const later = v7({msecs: Date.now()});
		const [unknown, fresh] = await fixture.settle(Promise.all([fixture.attempt(entry, makeRequest(older)), fixture.attempt(entry, makeRequest(later))]));
		t.deepEqual(unknown, {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: false});
		t.deepEqual(fresh, {answer: `done ${later}`});
		const late = fixture.attempt(owner, makeRequest(older, {}, {deadlineAtMs: Date.now() + 60_000}));
		owner.process.thaw();
		const {execution} = await fixture.settle(late);
		t.is(execution, Execution.Unknown);
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('the outcome for an id without a timestamp is unknown for the retry horizon after a takeover, and for longer if the id was requested in that time', async t => {
	await MeshFixture.with(2, async fixture => {
		const owner = fixture.ownerOf('order-1');
		const other = fixture.otherThan(owner);
		const neverAsked = ['order-2', 'order-3', 'order-4', 'order-5', 'order-6', 'order-7'].find(id => fixture.ownerOf(id) === owner)!;
		void fixture.mesh.kill(owner);
		await fixture.advance(10_000);
		const soon = await fixture.attemptAndSettle(other);
		t.is(soon.execution, Execution.Unknown);
		await fixture.advance(50_000);
		const afterHorizon = await fixture.attemptAndSettle(other);
		t.is(afterHorizon.execution, Execution.Unknown);
		t.deepEqual(await fixture.attemptAndSettle(other, makeRequest(neverAsked)), {answer: `done ${neverAsked}`});
	});
});

test.serial('requests with time-ordered ids from the future or from before the retry horizon are never executed', async t => {
	await MeshFixture.with(2, async fixture => {
		const future = await fixture.attemptAndSettle(fixture.mesh.nodes[0], makeRequest(v7({msecs: Date.now() + 1000})));
		const past = await fixture.attemptAndSettle(fixture.mesh.nodes[0], makeRequest(v7({msecs: Date.now() - 61_000})));
		t.is(future.kind, ErrorKind.KeyExpired);
		t.is(past.kind, ErrorKind.KeyExpired);
		t.is(past.execution, Execution.Unknown);
		t.is(fixture.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('owners keep their state through an outage of the store', async t => {
	await MeshFixture.with(3, async fixture => {
		await fixture.attemptAndSettle(fixture.mesh.nodes[0]);
		fixture.mesh.parts.store.isDown = true;
		await fixture.advance(20_000);
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[1]), {answer: 'done order-1'});
		fixture.mesh.parts.store.isDown = false;
		await fixture.advance(10_000);
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[1], makeRequest('order-2')), {answer: 'done order-2'});
		t.is(fixture.mesh.parts.backends.executions.length, 2);
	});
});

test.serial('the outcome is unknown if the owner is lost after the call was sent; if it is lost before, the attempt is known to have started nothing', async t => {
	await MeshFixture.with(2, async fixture => {
		const owner = fixture.ownerOf('order-1');
		const entry = fixture.otherThan(owner);
		const sent = fixture.attempt(entry);
		await fixture.advance(15);
		fixture.mesh.parts.conditions.cut(owner.nodeId, entry.nodeId);
		t.deepEqual(await fixture.settle(sent), {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: undefined});
		t.deepEqual(await fixture.attemptAndSettle(entry, makeRequest('order-1')), {kind: ErrorKind.OwnerUnreachable, execution: Execution.Unknown, started: false});
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('a caller that disconnects cancels an execution that has not started, unless another attempt has joined it', async t => {
	await MeshFixture.with(2, async fixture => {
		fixture.mesh.parts.backends.queueMs = 300;
		const [one, other] = fixture.mesh.nodes;
		const leaving = new AbortController();
		const alone = fixture.attempt(one, makeRequest('order-1'), leaving);
		const joined = fixture.attempt(one, makeRequest('order-2'), leaving);
		const staying = fixture.attempt(other, makeRequest('order-2'));
		await fixture.advance(100);
		leaving.abort();
		t.deepEqual(await fixture.settle(staying), {answer: 'done order-2'});
		const left = await Promise.all([alone, joined]);
		t.deepEqual(left.map(({execution}) => execution), [Execution.Unknown, Execution.Unknown]);
		t.deepEqual(fixture.mesh.parts.backends.executions.map(({requestId}) => requestId), ['order-2']);
		t.deepEqual(await fixture.attemptAndSettle(other, makeRequest('order-1')), {answer: 'done order-1'});
	});
});

test.serial('an execution that has started continues when its caller disconnects, and its answer is stored', async t => {
	await MeshFixture.with(2, async fixture => {
		fixture.mesh.parts.backends.workMs = 500;
		const leaving = new AbortController();
		const left = fixture.attempt(fixture.mesh.nodes[0], makeRequest('order-1'), leaving);
		await fixture.advance(100);
		leaving.abort();
		await fixture.settle(left);
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[1]), {answer: 'done order-1'});
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});

test.serial('a takeover whose swap is delayed until the owner has regained its lease has no effect', async t => {
	await MeshFixture.with(2, async fixture => {
		const owner = fixture.ownerOf('order-1');
		const other = fixture.otherThan(owner);
		const {conditions} = fixture.mesh.parts;
		const delay = new Deferred<void>();
		conditions.delayedSwapNodeId = other.nodeId;
		conditions.swapDelay = delay.promise;
		owner.process.isStoreCut = true;
		fixture.mesh.gossip(owner, MemberState.Dead);
		await fixture.advance(6000);
		owner.process.isStoreCut = false;
		await fixture.advance(6000);
		t.true(owner.get(OwnershipService).isOwner('ledger', 'order-1'));
		t.deepEqual(await fixture.attemptAndSettle(owner), {answer: 'done order-1'});
		delay.resolve();
		await fixture.advance(6000);
		t.is(fixture.ownerOf('order-1'), owner);
		t.deepEqual(await fixture.attemptAndSettle(other), {answer: 'done order-1'});
	});
});
