import test from 'ava';
import fc from 'fast-check';
import {StoreLeaseService} from '../store-lease-service.js';
import {CountingMetrics} from './counting-metrics.js';
import {pauseClock, silentLog, testSettings} from './membership-fixture.js';
import {MemoryStore} from './memory-store.js';

const seed = 20_261;
const registration = {key: '/kumquatline/nodes/a', value: 'a', mayReplace: () => true};

/** Naive variant that counts the validity from the arrival of the acknowledgment, which ignores the time that the renewal took to reach the store. */
class ArrivalTimedLease extends StoreLeaseService {
	protected override extendValidity(): void {
		super.extendValidity(performance.now(), Date.now());
	}
}

function createLease(Lease: typeof StoreLeaseService) {
	const store = new MemoryStore();
	const lease = new Lease({settings: testSettings('a'), incarnation: '1'}, store, silentLog, new CountingMetrics());
	lease.setRegistration(registration);
	return {store, lease, stop: new AbortController()};
}

/** Counts how often a lease is considered held although it has lapsed in the store. */
async function countFalseHolds(Lease: typeof StoreLeaseService, delays: Array<[number, number]>): Promise<number> {
	const clock = pauseClock();
	const {store, lease, stop} = createLease(Lease);
	try {
		void lease.start(stop.signal);
		let falseHolds = 0;
		for (const [requestDelayMs, resultDelayMs] of delays) {
			store.requestDelayMs = requestDelayMs;
			store.resultDelayMs = resultDelayMs;
			for (let elapsedMs = 0; elapsedMs < 3000; elapsedMs += 250) {
				await clock.tickAsync(250);
				falseHolds += lease.isHeld() && !store.isLeaseAlive(lease.leaseId!) ? 1 : 0;
			}
		}

		return falseHolds;
	} finally {
		stop.abort();
		lease.dispose();
		await clock.tickAsync(60_000);
		clock.uninstall();
	}
}

const schedules = fc.array(fc.tuple(fc.integer({min: 0, max: 12_000}), fc.integer({min: 0, max: 12_000})), {minLength: 4, maxLength: 12});

test.serial('a lease is never considered held after it has lapsed in the store', async t => {
	await fc.assert(fc.asyncProperty(schedules, async delays => {
		t.is(await countFalseHolds(StoreLeaseService, delays), 0);
	}), {seed, numRuns: 60});
});

test.serial('the lease check fails if the validity is counted from the arrival of the acknowledgment', async t => {
	const outcome = await fc.check(fc.asyncProperty(schedules, async delays => await countFalseHolds(ArrivalTimedLease, delays) === 0), {seed, numRuns: 60});
	t.true(outcome.failed);
});

test.serial('a stalled process does not hold its lease past its validity, whichever clock shows the stall', async t => {
	const clock = pauseClock();
	const {lease, stop} = createLease(StoreLeaseService);
	try {
		await lease.start(stop.signal);
		t.true(lease.isHeld());

		const wallMs = Date.now();
		clock.setSystemTime(wallMs + 9001);
		t.false(lease.isHeld(), 'the validity has ended by the wall clock');
		clock.setSystemTime(wallMs - 60_000);
		t.true(lease.isHeld(), 'a wall clock that is set back neither ends nor extends the validity');

		clock.setTimeout(() => {
			t.false(lease.isHeld(), 'the validity has ended by the monotonic clock, before any renewal');
		}, 1);
		clock.jump(9001);
	} finally {
		lease.dispose();
		clock.uninstall();
	}
});

test.serial('a lease is renewed after the start signal is aborted, until it is revoked', async t => {
	const clock = pauseClock();
	const {store, lease, stop} = createLease(StoreLeaseService);
	try {
		await lease.start(stop.signal);
		stop.abort();
		await clock.tickAsync(30_000);
		t.true(lease.isHeld());
		await lease.revoke(new AbortController().signal);
		t.false(lease.isHeld());
		t.false(store.entries.has(registration.key));
	} finally {
		clock.uninstall();
	}
});

test.serial('a lapsed lease is replaced by a new one, which is held only once the registration is written', async t => {
	const clock = pauseClock();
	const {store, lease, stop} = createLease(StoreLeaseService);
	try {
		await lease.start(stop.signal);
		const first = lease.leaseId;
		store.setUnreachable(true);
		await clock.tickAsync(15_000);
		t.false(lease.isHeld());

		store.setUnreachable(false);
		store.requestDelayMs = 100;
		let heldUnregistered = 0;
		for (let elapsedMs = 0; elapsedMs < 5000; elapsedMs += 50) {
			await clock.tickAsync(50);
			const registered = store.entries.get(registration.key);
			heldUnregistered += lease.isHeld() && registered?.leaseId !== lease.leaseId ? 1 : 0;
		}

		t.true(lease.isHeld());
		t.not(lease.leaseId, first);
		t.is(heldUnregistered, 0);
	} finally {
		lease.dispose();
		clock.uninstall();
	}
});

test.serial('an older incarnation of a node does not replace the registration of a newer one', async t => {
	const clock = pauseClock();
	const {store, lease, stop} = createLease(StoreLeaseService);
	try {
		await store.compareAndSwap(registration.key, 0, 'newer');
		lease.setRegistration({...registration, mayReplace: found => found !== 'newer'});
		await lease.start(stop.signal);
		await clock.tickAsync(10_000);
		t.is(store.entries.get(registration.key)?.value, 'newer');
		t.false(lease.isHeld());
	} finally {
		lease.dispose();
		clock.uninstall();
	}
});
