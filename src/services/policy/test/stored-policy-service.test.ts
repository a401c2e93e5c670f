import {install, type Clock} from '@sinonjs/fake-timers';
import test from 'ava';
import {Deferred} from '../../../base/deferred.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {Importance} from '../importance.js';
import {type LocalPeers} from './local-peers.js';
import {MemoryStore} from './memory-store.js';
import {PolicyNode} from './policy-node.js';
import {sampleDocument} from './sample-document.js';

const noSignal = new AbortController().signal;
const longerThanPollMs = 200_000;

let clock: Clock;

test.serial.beforeEach(() => {
	clock = install();
});

test.serial.afterEach.always(() => {
	clock.uninstall();
});

function importancePatch(importance: string, patchId: string, baseVersion: number) {
	return {patchId, baseVersion, operations: [{op: 'replace' as const, path: '/operations/0/importance', value: importance}]};
}

async function startNodes(count: number) {
	const store = new MemoryStore();
	const directory = new Map<string, LocalPeers>();
	const nodes = Array.from({length: count}, (_, index) => new PolicyNode(`node-${index}`, store, directory));
	for (const node of nodes) {
		await node.policy.start(noSignal);
	}

	return {store, directory, nodes};
}

/** Starts a node that can't reach the store and learns of versions from its peers only. */
async function startTurnedAwayNode(directory: Map<string, LocalPeers>) {
	const store = new MemoryStore();
	store.isUnreachable = true;
	const node = new PolicyNode('turned-away', store, directory);
	await node.policy.start(noSignal);
	return node;
}

test.serial('a patch creates the next version from its base version', async t => {
	const {nodes: [node]} = await startNodes(1);
	t.throws(() => node.policy.current, {message: /no policy/v});
	t.like(await node.policy.initialize(sampleDocument, noSignal), {version: 1, repeated: false});
	t.like(await node.policy.submit(importancePatch('normal', 'p1', 1), noSignal), {version: 2, repeated: false});
	t.is(node.policy.current.operations[0].importance, Importance.Normal);
	t.deepEqual(node.versions, [1, 2]);
});

test.serial('of two patches to the same version the later fails with the version in force', async t => {
	const {nodes: [first, second]} = await startNodes(2);
	await first.policy.initialize(sampleDocument, noSignal);
	const outcomes = await Promise.allSettled([
		first.policy.submit(importancePatch('normal', 'p1', 1), noSignal),
		second.policy.submit(importancePatch('high', 'p2', 1), noSignal),
	]);
	t.deepEqual(outcomes.map(({status}) => status), ['fulfilled', 'rejected']);
	const error = await t.throwsAsync(second.policy.submit(importancePatch('high', 'p2', 1), noSignal));
	t.like(error, {kind: ErrorKind.PolicyConflict, message: 'the patch is based on version 1 but version 2 is in force'});
	t.is(first.policy.current.operations[0].importance, Importance.Normal);
});

test.serial('the outcome of a write whose result was lost is determined by reading back', async t => {
	const {store, nodes: [node]} = await startNodes(1);
	await node.policy.initialize(sampleDocument, noSignal);
	store.resultsToLose = 1;
	t.like(await node.policy.submit(importancePatch('normal', 'p1', 1), noSignal), {version: 2, repeated: false});
	t.like(await node.policy.submit(importancePatch('normal', 'p1', 1), noSignal), {version: 2, repeated: true});
	t.deepEqual(node.versions, [1, 2]);
});

test.serial('a patch id that is reused for another patch is rejected', async t => {
	const {nodes: [node]} = await startNodes(1);
	await node.policy.initialize(sampleDocument, noSignal);
	await node.policy.submit(importancePatch('normal', 'p1', 1), noSignal);
	const error = await t.throwsAsync(node.policy.submit(importancePatch('high', 'p1', 2), noSignal));
	t.like(error, {kind: ErrorKind.PolicyInvalid, message: 'patch id "p1" belongs to another patch, which made version 2'});
	t.is(node.policy.version, 2);
});

test.serial('a node gets a new version from a peer by patch, without the store', async t => {
	const {nodes: [first], directory} = await startNodes(1);
	const second = await startTurnedAwayNode(directory);
	await first.policy.initialize(sampleDocument, noSignal);
	second.policy.recordPeerVersion(1, first.peers.self);
	await clock.tickAsync(1000);
	await first.policy.submit(importancePatch('normal', 'p1', 1), noSignal);
	second.policy.recordPeerVersion(2, first.peers.self);
	await clock.tickAsync(1000);
	t.deepEqual(second.versions, [1, 2]);
	t.deepEqual(second.policy.current, first.policy.current);
});

test.serial('a policy is fetched from another peer if the first is unreachable', async t => {
	const {nodes: [first], directory} = await startNodes(1);
	const second = await startTurnedAwayNode(directory);
	await first.policy.initialize(sampleDocument, noSignal);
	second.policy.recordPeerVersion(9, {...first.peers.self, nodeId: 'gone'});
	second.policy.recordPeerVersion(1, first.peers.self);
	await clock.tickAsync(3000);
	t.false(directory.has('gone'));
	t.is(second.policy.version, 1);
});

test.serial('an earlier version in the store is neither adopted nor overwritten by a patch', async t => {
	const {nodes: [node], store} = await startNodes(1);
	await node.policy.initialize(sampleDocument, noSignal);
	const first = JSON.stringify(node.policy.current);
	await node.policy.submit(importancePatch('normal', 'p1', 1), noSignal);
	store.put('/kumquatline/policy', first);
	await clock.tickAsync(longerThanPollMs);
	t.is(node.policy.version, 2);
	const error = await t.throwsAsync(node.policy.submit(importancePatch('high', 'p2', 1), noSignal));
	t.like(error, {kind: ErrorKind.PolicyConflict});
	t.deepEqual(node.versions, [1, 2]);
});

test.serial('a node that starts during a store outage adopts the highest version of its peers', async t => {
	const {nodes: [first, second], store, directory} = await startNodes(2);
	await first.policy.initialize(sampleDocument, noSignal);
	second.policy.recordPeerVersion(1, first.peers.self);
	await clock.tickAsync(1000);
	await first.policy.submit(importancePatch('normal', 'p1', 1), noSignal);
	store.isUnreachable = true;
	const lateNode = new PolicyNode('late', store, directory);
	await lateNode.policy.start(noSignal);
	t.is(lateNode.policy.version, 0);
	lateNode.policy.recordPeerVersion(1, second.peers.self);
	lateNode.policy.recordPeerVersion(2, first.peers.self);
	await clock.tickAsync(1000);
	t.deepEqual(lateNode.versions, [2]);
});

test.serial('a new version is adopted at once without gossip, and nodes that hear of each other do not poll the store', async t => {
	const {nodes: [first, second], store} = await startNodes(2);
	const callsBefore = store.calls.length;
	await first.policy.initialize(sampleDocument, noSignal);
	t.is(second.policy.version, 1);
	await first.policy.submit(importancePatch('normal', 'p1', 1), noSignal);
	t.is(second.policy.version, 2);
	for (let elapsedMs = 0; elapsedMs < longerThanPollMs; elapsedMs += 1000) {
		first.policy.recordPeerConfirmation(2, 0);
		second.policy.recordPeerConfirmation(2, 0);
		await clock.tickAsync(1000);
	}

	t.true(store.calls.length - callsBefore < 20);
});

test.serial('a node that hears of nobody reads the store at most once in half of the time within which a change has to be in force', async t => {
	const {store} = await startNodes(1);
	const callsBefore = store.calls.length;
	const elapsedMs = 30_000;
	await clock.tickAsync(elapsedMs);
	const reads = store.calls.length - callsBefore;
	t.true(reads > 0);
	t.true(reads <= elapsedMs / 1500, `${reads} reads`);
});

test.serial('a write that the store does not confirm fails with an unknown outcome', async t => {
	const {nodes: [node], store} = await startNodes(1);
	await node.policy.initialize(sampleDocument, noSignal);
	store.beforeSwap = () => {
		store.isUnreachable = true;
		store.resultsToLose = 1;
	};

	const controller = new AbortController();
	const outcome = t.throwsAsync(node.policy.submit(importancePatch('normal', 'p1', 1), controller.signal));
	await clock.tickAsync(5000);
	controller.abort();
	await clock.tickAsync(5000);
	t.like(await outcome, {kind: ErrorKind.StoreUnavailable, execution: 'unknown'});
});

test.serial('a submission that can\'t read the store leaves the outcome of earlier submissions unknown', async t => {
	const {nodes: [node], store} = await startNodes(1);
	await node.policy.initialize(sampleDocument, noSignal);
	await node.policy.submit(importancePatch('normal', 'p1', 1), noSignal);
	store.isUnreachable = true;
	const error = await t.throwsAsync(node.policy.submit(importancePatch('normal', 'p1', 1), noSignal));
	t.like(error, {kind: ErrorKind.StoreUnavailable, execution: 'unknown', started: false});
});

test.serial('a conflict with a base version older than the history leaves the outcome of the patch id unknown', async t => {
	const {nodes: [node]} = await startNodes(1);
	await node.policy.initialize(sampleDocument, noSignal);
	for (let version = 1; version <= 70; version++) {
		await node.policy.submit(importancePatch(version % 2 === 0 ? 'normal' : 'high', `p${version}`, version), noSignal);
	}

	const old = await t.throwsAsync(node.policy.submit(importancePatch('high', 'p1', 1), noSignal));
	t.like(old, {kind: ErrorKind.PolicyConflict, execution: 'unknown', started: false});
	const recent = await t.throwsAsync(node.policy.submit(importancePatch('high', 'other', 60), noSignal));
	t.like(recent, {kind: ErrorKind.PolicyConflict, execution: 'not-run', started: false});
	t.is(node.policy.current.recentPatches.length, 64);
});

test.serial('a store read that gossip overtakes is not mistaken for a store that was reset to an earlier version', async t => {
	const {nodes: [first, second], store} = await startNodes(2);
	await first.policy.initialize(sampleDocument, noSignal);
	second.policy.recordPeerVersion(1, first.peers.self);
	await clock.tickAsync(1000);
	const gate = new Deferred<void>();
	store.beforeResult = async () => gate.promise;
	const submission = second.policy.submit(importancePatch('normal', 'p1', 1), noSignal);
	store.beforeResult = undefined;
	await first.policy.submit(importancePatch('normal', 'p1', 1), noSignal);
	second.policy.recordPeerVersion(2, first.peers.self);
	await clock.tickAsync(1000);
	t.is(second.policy.version, 2);
	gate.resolve();
	const outcome = await submission;
	t.is(outcome.version, 2);
});

test.serial('a restored store is followed again although its revisions start again', async t => {
	const {nodes: [first, second]} = await startNodes(2);
	await first.policy.initialize(sampleDocument, noSignal);
	await first.policy.submit(importancePatch('normal', 'p1', 1), noSignal);
	await clock.tickAsync(longerThanPollMs);
	t.is(second.policy.version, 2);
	const emptied = new MemoryStore();
	const restored = new PolicyNode('restored', emptied, new Map());
	emptied.put('/kumquatline/policy', JSON.stringify(first.policy.current));
	await restored.policy.start(noSignal);
	await t.throwsAsync(restored.policy.restore(noSignal), {message: /nothing to restore/v});
	await emptied.compareAndDelete('/kumquatline/policy');
	await t.throwsAsync(restored.policy.submit(importancePatch('high', 'p2', 2), noSignal), {message: /store holds version 0/v});
	t.like(await restored.policy.restore(noSignal), {version: 2});
	t.like(await restored.policy.submit(importancePatch('high', 'p2', 2), noSignal), {version: 3});
	t.deepEqual(restored.versions, [2, 3]);
});
