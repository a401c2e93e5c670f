import {Buffer} from 'node:buffer';
import test from 'ava';
import {v7} from 'uuid';
import {ErrorKind} from '../../../base/error-kind.js';
import {Execution} from '../../../base/execution.js';
import {type KumquatlineError} from '../../../base/kumquatline-error.js';
import {MemberState} from '../../membership/member-state.js';
import {OwnershipService} from '../ownership-service.js';
import {makeRequest} from './mesh/make-request.js';
import {type MeshNode} from './mesh/mesh-node.js';
import {Mesh} from './mesh/mesh.js';
import {withPausedClock} from './mesh/with-paused-clock.js';

const settleMs = 5000;
const {signal} = new AbortController();

type Clock = {tickAsync(durationMs: number): Promise<number>};

/** What became of an attempt. */
type Outcome = {answer?: string; kind?: ErrorKind; execution?: Execution; started?: boolean};

async function attempt(node: MeshNode, request = makeRequest('order-1'), attemptSignal = signal): Promise<Outcome> {
	try {
		const answer = await node.get(OwnershipService).run(request, attemptSignal);
		return {answer: Buffer.from(answer.bodyBase64, 'base64').toString()};
	} catch (error) {
		const {kind, execution, started} = error as KumquatlineError;
		return {kind, execution, started};
	}
}

async function withMesh(count: number, body: (mesh: Mesh, clock: Clock) => Promise<void>): Promise<void> {
	await withPausedClock(async clock => {
		const mesh = new Mesh();
		const started = mesh.start(count);
		await clock.tickAsync(settleMs);
		await started;
		await body(mesh, clock);
		mesh.dispose();
		await clock.tickAsync(settleMs);
	});
}

async function settle<T>(clock: Clock, promise: Promise<T>): Promise<T> {
	await clock.tickAsync(settleMs);
	return promise;
}

function ownerOf(mesh: Mesh, requestId: string): MeshNode {
	const owner = mesh.nodes.find(node => node.get(OwnershipService).isOwner('ledger', requestId));
	if (!owner) {
		throw new Error('no owner');
	}

	return owner;
}

test.serial('a charge re-sent at once to several nodes runs once and all get its answer', async t => {
	await withMesh(3, async (mesh, clock) => {
		const outcomes = await settle(clock, Promise.all(mesh.nodes.map(async node => attempt(node))));
		t.deepEqual(outcomes, Array.from({length: 3}, () => ({answer: 'done order-1'})));
		t.is(mesh.parts.backends.executions.length, 1);
		t.deepEqual(await settle(clock, attempt(mesh.nodes[2])), {answer: 'done order-1'});
		t.is(mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an id can not be used for another request', async t => {
	await withMesh(2, async (mesh, clock) => {
		await settle(clock, attempt(mesh.nodes[0]));
		const outcome = await settle(clock, attempt(mesh.nodes[1], makeRequest('order-1', {bodyBase64: 'b3RoZXI='})));
		t.is(outcome.kind, ErrorKind.KeyReused);
		t.is(mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an attempt from before a refusal never runs, a later one does', async t => {
	await withMesh(2, async (mesh, clock) => {
		const earlier = makeRequest('order-1', {}, {deadlineAtMs: Date.now() + 60_000});
		mesh.parts.backends.shedShare = 1;
		t.deepEqual(await settle(clock, attempt(mesh.nodes[0])), {kind: ErrorKind.BackendShed, execution: Execution.NotRun, started: false});
		mesh.parts.backends.shedShare = 0;
		t.deepEqual(await settle(clock, attempt(mesh.nodes[1], earlier)), {kind: ErrorKind.StaleAttempt, execution: Execution.NotRun, started: false});
		t.is(mesh.parts.backends.executions.length, 0);
		t.deepEqual(await settle(clock, attempt(mesh.nodes[1])), {answer: 'done order-1'});
	});
});

test.serial('an attempt that came too late for its deadline never runs', async t => {
	await withMesh(2, async (mesh, clock) => {
		const owner = ownerOf(mesh, 'order-1');
		const entry = mesh.nodes.find(node => node !== owner)!;
		owner.process.freeze();
		const outcome = attempt(entry);
		await clock.tickAsync(2500);
		owner.process.thaw();
		const {execution} = await settle(clock, outcome);
		t.is(execution, Execution.Unknown);
		t.is(mesh.parts.backends.executions.length, 0);
	});
});

test.serial('a backend server that began and gave no answer leaves the outcome unknown for good', async t => {
	await withMesh(2, async (mesh, clock) => {
		mesh.parts.backends.failedShare = 1;
		t.deepEqual(await settle(clock, attempt(mesh.nodes[0])), {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: true});
		mesh.parts.backends.failedShare = 0;
		t.deepEqual(await settle(clock, attempt(mesh.nodes[0])), {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: false});
		t.is(mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an owner whose lease has lapsed starts nothing', async t => {
	await withMesh(2, async (mesh, clock) => {
		const owner = ownerOf(mesh, 'order-1');
		owner.process.isStoreCut = true;
		await clock.tickAsync(3000);
		t.false(owner.get(OwnershipService).isOwner('ledger', 'order-1'));
		const outcome = await settle(clock, attempt(owner));
		t.is(outcome.execution, Execution.Unknown);
		t.false(outcome.started);
		t.is(mesh.parts.backends.executions.length, 0);
	});
});

test.serial('a frozen owner that wakes after a takeover starts nothing, and the past stays unknown', async t => {
	await withMesh(3, async (mesh, clock) => {
		const older = v7({msecs: Date.now()});
		const owner = ownerOf(mesh, older);
		const entry = mesh.nodes.find(node => node !== owner)!;
		owner.process.freeze();
		mesh.tell(owner, MemberState.Dead);
		await clock.tickAsync(10_000);
		t.not(ownerOf(mesh, v7({msecs: Date.now()})), owner);
		const later = v7({msecs: Date.now()});
		const [unknown, fresh] = await settle(clock, Promise.all([attempt(entry, makeRequest(older)), attempt(entry, makeRequest(later))]));
		t.deepEqual(unknown, {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: false});
		t.deepEqual(fresh, {answer: `done ${later}`});
		const late = attempt(owner, makeRequest(older, {}, {deadlineAtMs: Date.now() + 60_000}));
		owner.process.thaw();
		const {execution} = await settle(clock, late);
		t.is(execution, Execution.Unknown);
		t.is(mesh.parts.backends.executions.length, 1);
	});
});

test.serial('an id without a time is unknown for the retry horizon after a takeover, and one asked for in that time for longer', async t => {
	await withMesh(2, async (mesh, clock) => {
		const owner = ownerOf(mesh, 'order-1');
		const other = mesh.nodes.find(node => node !== owner)!;
		const neverAsked = ['order-2', 'order-3', 'order-4', 'order-5', 'order-6', 'order-7'].find(id => ownerOf(mesh, id) === owner)!;
		void mesh.kill(owner);
		await clock.tickAsync(10_000);
		const soon = await settle(clock, attempt(other));
		t.is(soon.execution, Execution.Unknown);
		await clock.tickAsync(50_000);
		const afterHorizon = await settle(clock, attempt(other));
		t.is(afterHorizon.execution, Execution.Unknown);
		t.deepEqual(await settle(clock, attempt(other, makeRequest(neverAsked))), {answer: `done ${neverAsked}`});
	});
});

test.serial('time-ordered ids from the future or from before the horizon never run', async t => {
	await withMesh(2, async (mesh, clock) => {
		const future = await settle(clock, attempt(mesh.nodes[0], makeRequest(v7({msecs: Date.now() + 1000}))));
		const past = await settle(clock, attempt(mesh.nodes[0], makeRequest(v7({msecs: Date.now() - 61_000}))));
		t.is(future.kind, ErrorKind.KeyExpired);
		t.is(past.kind, ErrorKind.KeyExpired);
		t.is(past.execution, Execution.Unknown);
		t.is(mesh.parts.backends.executions.length, 0);
	});
});

test.serial('after an outage of the store the owners go on with what they knew', async t => {
	await withMesh(3, async (mesh, clock) => {
		await settle(clock, attempt(mesh.nodes[0]));
		mesh.parts.store.isDown = true;
		await clock.tickAsync(20_000);
		t.deepEqual(await settle(clock, attempt(mesh.nodes[1])), {answer: 'done order-1'});
		mesh.parts.store.isDown = false;
		await clock.tickAsync(10_000);
		t.deepEqual(await settle(clock, attempt(mesh.nodes[1], makeRequest('order-2'))), {answer: 'done order-2'});
		t.is(mesh.parts.backends.executions.length, 2);
	});
});

test.serial('the loss of the owner after sending leaves the outcome unknown, before sending it is known that this attempt started nothing', async t => {
	await withMesh(2, async (mesh, clock) => {
		const owner = ownerOf(mesh, 'order-1');
		const entry = mesh.nodes.find(node => node !== owner)!;
		const sent = attempt(entry);
		await clock.tickAsync(15);
		mesh.parts.conditions.cut(owner.nodeId, entry.nodeId);
		t.deepEqual(await settle(clock, sent), {kind: ErrorKind.OutcomeUnknown, execution: Execution.Unknown, started: undefined});
		t.deepEqual(await settle(clock, attempt(entry, makeRequest('order-1'))), {kind: ErrorKind.OwnerUnreachable, execution: Execution.Unknown, started: false});
		t.is(mesh.parts.backends.executions.length, 1);
	});
});
