import {install, type Clock} from '@sinonjs/fake-timers';
import test from 'ava';
import {sleep} from '../../../../src/base/sleep.js';
import {type SelfTimeTracker} from '../../../../src/services/admission/admission-service.js';
import {AnnouncedLimitService} from '../../../../src/services/admission/announced-limit-service.js';
import {LearnedLimitService} from '../learned-limit-service.js';
import {type ConcurrencyLimitService} from '../../../../src/services/admission/limit-service.js';
import {AdmitAllThresholdService} from '../../../../src/services/admission/admit-all-threshold-service.js';
import {QueueAdmissionService} from '../../../../src/services/admission/queue-admission-service.js';
import {makeContext} from '../../../../src/services/admission/test/make-context.js';
import {NoopMetricsService} from '../../../../src/services/admission/test/noop-metrics-service.js';
import {SimulatedBackend} from '../../../../src/services/admission/test/simulated-backend.js';

const announcedSlots = 16;
const serviceTimeMs = 50;
const queueLength = 40;

let clock: Clock;

test.beforeEach(() => {
	clock = install();
});

test.afterEach.always(() => {
	clock.uninstall();
});

class Load {
	readonly admission: QueueAdmissionService;

	constructor(limit: ConcurrencyLimitService, private readonly execute: (selfTime: SelfTimeTracker) => Promise<void>) {
		this.admission = new QueueAdmissionService(new NoopMetricsService(), new AdmitAllThresholdService(), limit);
		this.admission.setAnnouncedCapacity(announcedSlots, 100, 1);
	}

	/** Keeps the admission queue filled. */
	async keepQueueFilled(durationMs: number): Promise<void> {
		for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
			while (this.admission.load.queued < queueLength) {
				void this.admission.run(makeContext(), this.execute, new AbortController().signal);
			}

			await clock.tickAsync(10);
		}
	}
}

test.serial('the limit starts low after a cold start and grows to the announced slots', async t => {
	const backend = new SimulatedBackend(announcedSlots, serviceTimeMs);
	const load = new Load(new LearnedLimitService(), async () => backend.serve());
	t.is(load.admission.load.limit, 4);
	await load.keepQueueFilled(3000);
	t.is(load.admission.load.limit, announcedSlots);
});

test.serial('the limit falls when a backend server announces more slots than it has', async t => {
	const backend = new SimulatedBackend(4, serviceTimeMs);
	const load = new Load(new LearnedLimitService(), async () => backend.serve());
	await load.keepQueueFilled(5000);
	backend.maxRunning = 0;
	await load.keepQueueFilled(10_000);
	t.true(backend.maxRunning <= 8);
	t.true(load.admission.load.limit >= 3);
});

test.serial('a limit equal to the announced slots makes requests queue inside the backend server', async t => {
	const backend = new SimulatedBackend(4, serviceTimeMs);
	const load = new Load(new AnnouncedLimitService(), async () => backend.serve());
	await load.keepQueueFilled(5000);
	t.is(backend.maxRunning, announcedSlots);
});

test.serial('a backend server that is slow at any concurrency keeps its limit', async t => {
	const backend = new SimulatedBackend(announcedSlots, serviceTimeMs);
	const load = new Load(new LearnedLimitService(), async () => backend.serve());
	await load.keepQueueFilled(3000);
	backend.slowFactor = 3;
	await load.keepQueueFilled(3000);
	t.is(load.admission.load.limit, announcedSlots);
});

test.serial('slow inner calls do not lower the limit', async t => {
	let innerCallMs = 10;
	const load = new Load(new LearnedLimitService(), async selfTime => {
		await sleep(serviceTimeMs);
		selfTime.innerCallStarted();
		await sleep(innerCallMs);
		selfTime.innerCallEnded();
	});
	await load.keepQueueFilled(3000);
	t.is(load.admission.load.limit, announcedSlots);
	innerCallMs = 500;
	for (let index = 0; index < 20; index++) {
		await load.keepQueueFilled(200);
		t.is(load.admission.load.limit, announcedSlots);
	}
});

test.serial('the limit falls when the backend server sheds, and then grows by one at a time', async t => {
	const backend = new SimulatedBackend(announcedSlots, serviceTimeMs);
	const load = new Load(new LearnedLimitService(), async () => backend.serve());
	await load.keepQueueFilled(3000);
	load.admission.recordShed();
	load.admission.recordShed();
	t.is(load.admission.load.limit, 12);
	await load.keepQueueFilled(900);
	t.is(load.admission.load.limit, 12);
	await load.keepQueueFilled(3000);
	t.is(load.admission.load.limit, announcedSlots);
});

test.serial('the limit is reset for a backend server on another port', async t => {
	const backend = new SimulatedBackend(announcedSlots, serviceTimeMs);
	const load = new Load(new LearnedLimitService(), async () => backend.serve());
	await load.keepQueueFilled(3000);
	load.admission.setAnnouncedCapacity(announcedSlots, 100, 1);
	t.is(load.admission.load.limit, announcedSlots);
	load.admission.setAnnouncedCapacity(announcedSlots, 100, 2);
	t.is(load.admission.load.limit, 4);
});
