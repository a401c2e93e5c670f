import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {SlotQueue, type QueuedWork} from '../slot-queue.js';

const neverAborted = new AbortController().signal;

function work(priority: number, remainingMs = 1000, isInner = false): QueuedWork {
	return {
		rootRank: 0.5, isInner, hasWaited: false, priority, monotonicDeadlineMs: performance.now() + remainingMs,
	};
}

function installClock(t: {teardown(release: () => void): void}) {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	return clock;
}

/** Queues work and appends its name to `started` when it may start, or the kind of its refusal. */
async function acquire(queue: SlotQueue, started: string[], name: string, item: QueuedWork): Promise<void> {
	try {
		await queue.acquire(item, neverAborted);
		started.push(name);
	} catch (error) {
		started.push(`${name} refused: ${(error as {kind: string}).kind}`);
	}
}

test.serial('inner calls go first, then by priority, then by arrival', async t => {
	const clock = installClock(t);
	const queue = new SlotQueue(() => 1);
	const started: string[] = [];
	await acquire(queue, started, 'running', work(2));
	const entering = [
		acquire(queue, started, 'low', work(2)),
		acquire(queue, started, 'high', work(0)),
		acquire(queue, started, 'high second', work(0)),
		acquire(queue, started, 'inner', work(2, 1000, true)),
	];
	for (let index = 0; index < 5; index++) {
		queue.release(10);
		await clock.tickAsync(1);
	}

	await Promise.all(entering);
	t.deepEqual(started, ['running', 'inner', 'high', 'high second', 'low']);
});

test.serial('work that cannot complete before its deadline is refused at once, or when its turn comes', async t => {
	const clock = installClock(t);
	const queue = new SlotQueue(() => 1);
	const started: string[] = [];
	await acquire(queue, started, 'first', work(0));
	queue.release(100);
	await acquire(queue, started, 'second', work(0));
	await acquire(queue, started, 'too late', work(0, 120));
	const waiting = acquire(queue, started, 'nearly expired', work(0, 200));
	clock.tick(180);
	queue.release(100);
	await waiting;
	t.deepEqual(started, ['first', 'second', 'too late refused: overloaded', 'nearly expired refused: deadline-exceeded']);
	t.is(queue.running, 0);
});

test.serial('aborted work leaves the queue', async t => {
	const queue = new SlotQueue(() => 1);
	await queue.acquire(work(0), neverAborted);
	const controller = new AbortController();
	const waiting = t.throwsAsync(queue.acquire(work(0), controller.signal));
	controller.abort();
	t.like(await waiting, {kind: 'caller-gone', started: false});
	t.is(queue.length, 0);
});

test.serial('the least urgent work goes before work that arrived much later', async t => {
	const clock = installClock(t);
	const queue = new SlotQueue(() => 1);
	const started: string[] = [];
	await acquire(queue, started, 'running', work(2));
	const low = acquire(queue, started, 'low', work(2, 2000));
	clock.tick(500);
	const inner = acquire(queue, started, 'inner', work(0, 1000, true));
	for (let index = 0; index < 3; index++) {
		queue.release(10);
		await clock.tickAsync(1);
	}

	await Promise.all([low, inner]);
	t.deepEqual(started, ['running', 'low', 'inner']);
});

test.serial('work whose deadline passes while it waits is rejected with deadline-exceeded', async t => {
	const queue = new SlotQueue(() => 1);
	await queue.acquire(work(0), neverAborted);
	const controller = new AbortController();
	const waiting = t.throwsAsync(queue.acquire(work(0), controller.signal));
	controller.abort(new KumquatlineError(ErrorKind.DeadlineExceeded, 'late'));
	t.like(await waiting, {kind: 'deadline-exceeded', started: false});
});

test.serial('inner calls of one root request go before those of another in the same order at every service', async t => {
	const clock = installClock(t);
	const queue = new SlotQueue(() => 1);
	const started: string[] = [];
	await acquire(queue, started, 'running', work(2));
	const lowRank = acquire(queue, started, 'low-rank root', {...work(2, 1000, true), rootRank: 0.1});
	clock.tick(100);
	const highRank = acquire(queue, started, 'high-rank root', {...work(2, 1000, true), rootRank: 0.9});
	for (let index = 0; index < 3; index++) {
		queue.release(10);
		await clock.tickAsync(1);
	}

	await Promise.all([lowRank, highRank]);
	t.deepEqual(started, ['running', 'high-rank root', 'low-rank root']);
});
