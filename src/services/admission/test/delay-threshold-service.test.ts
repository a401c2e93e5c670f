import {install, type Clock} from '@sinonjs/fake-timers';
import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {Importance} from '../../policy/importance.js';
import {AnnouncedLimitService} from '../announced-limit-service.js';
import {DelayThresholdService} from '../delay-threshold-service.js';
import {OpenThresholdService} from '../open-threshold-service.js';
import {QueueAdmissionService} from '../queue-admission-service.js';
import {type ThresholdService} from '../threshold-service.js';
import {OverloadSimulation} from './overload-simulation.js';
import {SilentMetricsService} from './silent-metrics-service.js';

const slots = 4;
const serviceTimeMs = 100;
const capacityPerSecond = 40;

let clock: Clock;

test.beforeEach(() => {
	clock = install();
});

test.afterEach.always(() => {
	clock.uninstall();
});

async function overload(threshold: ThresholdService): Promise<OverloadSimulation> {
	const admission = new QueueAdmissionService(new SilentMetricsService(), threshold, new AnnouncedLimitService());
	admission.setAnnounced(slots, 100);
	const simulation = new OverloadSimulation(clock, admission, serviceTimeMs);
	await simulation.send(3 * capacityPerSecond, 10_000);
	return simulation;
}

function expired(simulation: OverloadSimulation): number {
	return simulation.requests.filter(({outcome}) => outcome === ErrorKind.DeadlineExceeded).length;
}

test.serial('at three times capacity the least important requests are refused immediately instead of after their deadline', async t => {
	const simulation = await overload(new DelayThresholdService());
	t.is(simulation.ranShare(Importance.Critical), 1);
	t.is(simulation.ranShare(Importance.High), 1);
	t.true(simulation.ranShare(Importance.Sheddable, 2000) < 0.01);
	t.true(simulation.ranShare(Importance.Normal, 2000) > 0.2);
	t.true(expired(simulation) < 10);
	const ran = simulation.requests.filter(({outcome}) => outcome === 'run').length;
	t.true(ran > 0.95 * capacityPerSecond * 10);
});

test.serial('without a threshold the least important requests wait until their deadline has passed', async t => {
	const simulation = await overload(new OpenThresholdService());
	t.is(simulation.ranShare(Importance.Critical), 1);
	t.true(expired(simulation) > 100);
});

test.serial('after an overload all requests are admitted again within two seconds', async t => {
	const threshold = new DelayThresholdService();
	const simulation = await overload(threshold);
	t.true(threshold.threshold > 1);
	await simulation.send(0.7 * capacityPerSecond, 4000);
	t.is(simulation.ranShare(Importance.Sheddable, 12_000), 1);
	t.is(threshold.threshold, 0);
});

test.serial('a burst that the queue absorbs causes no refusals', async t => {
	const threshold = new DelayThresholdService();
	const admission = new QueueAdmissionService(new SilentMetricsService(), threshold, new AnnouncedLimitService());
	admission.setAnnounced(slots, 100);
	const simulation = new OverloadSimulation(clock, admission, serviceTimeMs);
	await simulation.send(0.5 * capacityPerSecond, 2000);
	await simulation.send(1000, 4);
	await simulation.send(0.5 * capacityPerSecond, 2000);
	await clock.tickAsync(1000);
	t.true(simulation.requests.every(({outcome}) => outcome === 'run'));
});
