import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {openStore} from './open-store.js';
import {WatchRecorder} from './watch-recorder.js';

const pollMs = 5;

test('a compare-and-swap takes effect only at the expected revision', async t => {
	const {store} = await openStore(t);
	const first = await store.compareAndSwap('/a', 0, 'one');
	t.true(first.swapped);
	const second = await store.compareAndSwap('/a', 0, 'two');
	t.false(second.swapped);
	t.is(second.current?.value, 'one');
	const third = await store.compareAndSwap('/a', first.modRevision, 'three');
	t.true(third.swapped);
	const read = await store.get('/a');
	t.is(read?.value, 'three');
	t.false(await store.compareAndDelete('/a', first.modRevision));
	const {entries} = await store.list('/');
	t.is(entries.length, 1);
	t.true(await store.compareAndDelete('/a', entries[0].modRevision));
	t.is(await store.get('/a'), undefined);
});

test('a key is deleted with its lease', async t => {
	const {store} = await openStore(t);
	const leaseId = await store.grantLease(1000);
	const swap = await store.compareAndSwap('/leased', 0, 'x', leaseId);
	t.true(swap.swapped);
	t.true(await store.renewLease(leaseId));
	const read = await store.get('/leased');
	t.is(read?.leaseId, leaseId);
	await store.revokeLease(leaseId);
	t.is(await store.get('/leased'), undefined);
	t.false(await store.renewLease(leaseId));
	await t.throwsAsync(store.compareAndSwap('/leased', 0, 'y', leaseId), {message: /does not exist/v});
});

test('a lease that is not renewed expires', async t => {
	const {store, standIn} = await openStore(t);
	const leaseId = await store.grantLease(1000);
	await store.compareAndSwap('/leased', 0, 'x', leaseId);
	while (standIn.state.get('/leased')) {
		await sleep(pollMs);
	}

	t.false(await store.renewLease(leaseId));
});

test('a watch reports existing keys, changes and deletions', async t => {
	const {store} = await openStore(t);
	await store.compareAndSwap('/w/a', 0, 'one');
	const recorder = new WatchRecorder();
	store.watch('/w/', recorder.listener);
	await recorder.waitFor('/w/a', 'one');
	const {modRevision} = await store.compareAndSwap('/w/b', 0, 'two');
	await recorder.waitFor('/w/b', 'two');
	await store.compareAndDelete('/w/b', modRevision);
	await recorder.waitFor('/w/b', undefined);
	await store.compareAndSwap('/elsewhere', 0, 'x');
	t.is(recorder.changes.length, 3);
});

test('a silent connection delays a read by one probe and does not delay later calls', async t => {
	const {store, standIn} = await openStore(t);
	await store.compareAndSwap('/a', 0, 'one');
	standIn.setFaults({silent: true});
	const read = await store.get('/a');
	t.is(read?.value, 'one');
	t.true(store.reachable);
});

test('a write on a silent connection is abandoned and not retried', async t => {
	const {store, standIn} = await openStore(t);
	await store.get('/a');
	// The client considers the connection idle only some ticks after the answer.
	await sleep(pollMs * 4);
	standIn.setFaults({silent: true});
	await t.throwsAsync(store.compareAndSwap('/a', 0, 'one'), {message: /did not answer/v});
	t.false('kv-txn' in standIn.callCounts());
	const second = await store.compareAndSwap('/a', 0, 'two');
	t.true(second.swapped);
});

test('a write whose answer is lost fails as unanswered, and its value can be read back', async t => {
	const {store} = await openStore(t, {loseAnswers: 1, seed: 1});
	await t.throwsAsync(store.compareAndSwap('/a', 0, 'one'), {message: /did not answer/v});
	const read = await store.get('/a');
	t.is(read?.value, 'one');
});

test('changes that a silent watch misses are read from a listing, and the watch is replaced', async t => {
	const {store, standIn} = await openStore(t);
	const {modRevision} = await store.compareAndSwap('/w/a', 0, 'one');
	const recorder = new WatchRecorder();
	store.watch('/w/', recorder.listener, {checkIntervalMs: 100});
	await recorder.waitFor('/w/a', 'one');
	while (standIn.openWatches === 0) {
		await sleep(pollMs);
	}

	standIn.setFaults({silentWatches: true});
	const second = await store.compareAndSwap('/w/a', modRevision, 'two');
	await recorder.waitFor('/w/a', 'two');
	while (standIn.callCounts()['kv-watch'] < 2) {
		await sleep(pollMs);
	}

	await store.compareAndDelete('/w/a', second.modRevision);
	await recorder.waitFor('/w/a', undefined);
	t.pass();
});

// A watch that died silently had no bound of its own but the time between its renewals.
test('a watch on a silent connection is renewed as soon as another call gets no answer', async t => {
	t.timeout(20_000);
	const {store, standIn} = await openStore(t);
	await store.compareAndSwap('/w/a', 0, 'one');
	const recorder = new WatchRecorder();
	store.watch('/w/', recorder.listener, {checkIntervalMs: 60_000});
	await recorder.waitFor('/w/a', 'one');
	while (standIn.openWatches === 0) {
		await sleep(pollMs);
	}

	standIn.setFaults({silent: true});
	standIn.state.put('/w/a', 'two', undefined);
	const read = await store.get('/w/a');
	t.is(read?.value, 'two');
	await recorder.waitFor('/w/a', 'two');
	while (standIn.openWatches !== 1) {
		await sleep(pollMs);
	}

	standIn.state.put('/w/a', 'three', undefined);
	await recorder.waitFor('/w/a', 'three');
	t.pass();
});

// The new watch asked for changes after the revision of the cut one and waited for its whole time to learn that they are discarded.
test('a change during which watches heard nothing is known as soon as they are cut', async t => {
	const configBoundMs = 2000;
	const {store, standIn} = await openStore(t);
	await store.compareAndSwap('/w/a', 0, 'one');
	const recorder = new WatchRecorder();
	store.watch('/w/', recorder.listener, {checkIntervalMs: 60_000});
	await recorder.waitFor('/w/a', 'one');
	while (standIn.openWatches === 0) {
		await sleep(pollMs);
	}

	standIn.setFaults({silentWatches: true});
	standIn.state.put('/w/a', 'two', undefined);
	standIn.setFaults({forgetHistory: true, holdsDiscarded: true, cutWatches: true});
	await Promise.race([recorder.waitFor('/w/a', 'two'), sleep(configBoundMs)]);
	t.is(recorder.changes.at(-1)?.entry?.value, 'two');
});

// A watcher asked again at once for each registration while many nodes started together.
test('a watch that collects changes takes few calls for a series of them', async t => {
	const collectMs = 200;
	const changes = 20;
	const {store, standIn} = await openStore(t);
	const recorder = new WatchRecorder();
	const known = await store.list('/w/');
	// On a busy machine the client may have sent this read twice.
	const listings = standIn.callCounts()['kv-range'];
	store.watch('/w/', recorder.listener, {collectMs, known});
	while (standIn.openWatches === 0) {
		await sleep(pollMs);
	}

	const startedAtMs = performance.now();
	for (let change = 1; change <= changes; change++) {
		standIn.state.put('/w/a', String(change), undefined);
		await sleep(pollMs);
	}

	await recorder.waitFor('/w/a', String(changes));
	const maxCalls = 2 + Math.ceil((performance.now() - startedAtMs) / collectMs);
	t.true(standIn.callCounts()['kv-watch'] <= maxCalls);
	t.is(standIn.callCounts()['kv-range'], listings);
});

test('a watch survives an outage and then reports the latest state', async t => {
	const {store, standIn} = await openStore(t);
	await store.compareAndSwap('/w/a', 0, 'one');
	const recorder = new WatchRecorder();
	store.watch('/w/', recorder.listener, {checkIntervalMs: 100});
	await recorder.waitFor('/w/a', 'one');
	standIn.setFaults({outage: true});
	await t.throwsAsync(store.get('/w/a'));
	t.false(store.reachable);
	standIn.state.delete('/w/a');
	standIn.state.put('/w/b', 'two', undefined);
	standIn.setFaults({outage: false});
	await recorder.waitFor('/w/a', undefined);
	await recorder.waitFor('/w/b', 'two');
	t.pass();
});

test('a call in progress when the client is disposed fails without further effects', async t => {
	const {store, standIn, dispose} = await openStore(t, {slowMs: 50});
	const call = t.throwsAsync(store.get('/a'), {message: /did not answer/v});
	await sleep(pollMs);
	dispose();
	await call;
	await sleep(pollMs);
	t.is(standIn.openWatches, 0);
});
