import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {SlotQueue, type QueuedWork} from '../slot-queue.js';

const never = new AbortController().signal;

function work(priority: number, leftMs = 1000, isInner = false): QueuedWork {
	return {
		share: 0.5, isInner, hasWaited: false, priority, endsAtMs: performance.now() + leftMs,
	};
}

function pauseClock(t: {teardown(release: () => void): void}) {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	return clock;
}

/** Queues work and appends its name to `started` when it may start, or the kind of its refusal. */
async function enter(queue: SlotQueue, begun: string[], name: string, item: QueuedWork): Promise<void> {
	try {
		await queue.enter(item, never);
		begun.push(name);
	} catch (error) {
		begun.push(`${name} refused: ${(error as {kind: string}).kind}`);
	}
}

test.serial('inner calls go first, then by priority, then by arrival', async t => {
	const clock = pauseClock(t);
	const queue = new SlotQueue(() => 1);
	const begun: string[] = [];
	await enter(queue, begun, 'running', work(2));
	const entering = [
		enter(queue, begun, 'low', work(2)),
		enter(queue, begun, 'high', work(0)),
		enter(queue, begun, 'high second', work(0)),
		enter(queue, begun, 'inner', work(2, 1000, true)),
	];
	for (let index = 0; index < 5; index++) {
		queue.leave(10);
		await clock.tickAsync(1);
	}

	await Promise.all(entering);
	t.deepEqual(begun, ['running', 'inner', 'high', 'high second', 'low']);
});

test.serial('work that cannot complete before its deadline is refused at once, or when its turn comes', async t => {
	const clock = pauseClock(t);
	const queue = new SlotQueue(() => 1);
	const begun: string[] = [];
	await enter(queue, begun, 'first', work(0));
	queue.leave(100);
	await enter(queue, begun, 'second', work(0));
	await enter(queue, begun, 'hopeless', work(0, 120));
	const waiting = enter(queue, begun, 'overtaken', work(0, 200));
	clock.tick(180);
	queue.leave(100);
	await waiting;
	t.deepEqual(begun, ['first', 'second', 'hopeless refused: overloaded', 'overtaken refused: deadline-exceeded']);
	t.is(queue.running, 0);
});

test.serial('aborted work leaves the queue', async t => {
	const queue = new SlotQueue(() => 1);
	await queue.enter(work(0), never);
	const controller = new AbortController();
	const waiting = t.throwsAsync(queue.enter(work(0), controller.signal));
	controller.abort();
	t.like(await waiting, {kind: 'caller-gone', started: false});
	t.is(queue.length, 0);
});

test.serial('the least urgent work goes before work that arrived much later', async t => {
	const clock = pauseClock(t);
	const queue = new SlotQueue(() => 1);
	const begun: string[] = [];
	await enter(queue, begun, 'running', work(2));
	const low = enter(queue, begun, 'low', work(2, 2000));
	clock.tick(500);
	const inner = enter(queue, begun, 'inner', work(0, 1000, true));
	for (let index = 0; index < 3; index++) {
		queue.leave(10);
		await clock.tickAsync(1);
	}

	await Promise.all([low, inner]);
	t.deepEqual(begun, ['running', 'low', 'inner']);
});

test.serial('work whose deadline passes while it waits is rejected with deadline-exceeded', async t => {
	const queue = new SlotQueue(() => 1);
	await queue.enter(work(0), never);
	const controller = new AbortController();
	const waiting = t.throwsAsync(queue.enter(work(0), controller.signal));
	controller.abort(new KumquatlineError(ErrorKind.DeadlineExceeded, 'late'));
	t.like(await waiting, {kind: 'deadline-exceeded', started: false});
});

test.serial('inner calls of one root request go before those of another in the same order at every service', async t => {
	const clock = pauseClock(t);
	const queue = new SlotQueue(() => 1);
	const begun: string[] = [];
	await enter(queue, begun, 'running', work(2));
	const last = enter(queue, begun, 'last root', {...work(2, 1000, true), share: 0.1});
	clock.tick(100);
	const foremost = enter(queue, begun, 'foremost root', {...work(2, 1000, true), share: 0.9});
	for (let index = 0; index < 3; index++) {
		queue.leave(10);
		await clock.tickAsync(1);
	}

	await Promise.all([last, foremost]);
	t.deepEqual(begun, ['running', 'foremost root', 'last root']);
});
