import {install, type Clock} from '@sinonjs/fake-timers';
import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {Importance} from '../../policy/importance.js';
import {AnnouncedLimitService} from '../announced-limit-service.js';
import {DelayThresholdService} from '../delay-threshold-service.js';
import {AdmitAllThresholdService} from '../admit-all-threshold-service.js';
import {QueueAdmissionService} from '../queue-admission-service.js';
import {type ThresholdService} from '../threshold-service.js';
import {OverloadSimulation} from './overload-simulation.js';
import {NoopMetricsService} from './noop-metrics-service.js';

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

async function simulateOverload(threshold: ThresholdService): Promise<OverloadSimulation> {
	const admission = new QueueAdmissionService(new NoopMetricsService(), threshold, new AnnouncedLimitService());
	admission.setAnnouncedCapacity(slots, 100);
	const simulation = new OverloadSimulation(clock, admission, serviceTimeMs);
	await simulation.send(3 * capacityPerSecond, 10_000);
	return simulation;
}

function countExpired(simulation: OverloadSimulation): number {
	return simulation.requests.filter(({outcome}) => outcome === ErrorKind.DeadlineExceeded).length;
}

test.serial('at three times capacity the least important requests are refused immediately instead of after their deadline', async t => {
	const simulation = await simulateOverload(new DelayThresholdService());
	t.is(simulation.executedFraction(Importance.Critical), 1);
	t.is(simulation.executedFraction(Importance.High), 1);
	t.true(simulation.executedFraction(Importance.Sheddable, 2000) < 0.01);
	t.true(simulation.executedFraction(Importance.Normal, 2000) > 0.2);
	t.true(countExpired(simulation) < 10);
	const executedCount = simulation.requests.filter(({outcome}) => outcome === 'run').length;
	t.true(executedCount > 0.95 * capacityPerSecond * 10);
});

test.serial('without a threshold the least important requests wait until their deadline has passed', async t => {
	const simulation = await simulateOverload(new AdmitAllThresholdService());
	t.is(simulation.executedFraction(Importance.Critical), 1);
	t.true(countExpired(simulation) > 100);
});

test.serial('after an overload all requests are admitted again within two seconds', async t => {
	const threshold = new DelayThresholdService();
	const simulation = await simulateOverload(threshold);
	t.true(threshold.threshold > 1);
	await simulation.send(0.7 * capacityPerSecond, 4000);
	t.is(simulation.executedFraction(Importance.Sheddable, 12_000), 1);
	t.is(threshold.threshold, 0);
});

test.serial('a burst that the queue absorbs causes no refusals', async t => {
	const threshold = new DelayThresholdService();
	const admission = new QueueAdmissionService(new NoopMetricsService(), threshold, new AnnouncedLimitService());
	admission.setAnnouncedCapacity(slots, 100);
	const simulation = new OverloadSimulation(clock, admission, serviceTimeMs);
	await simulation.send(0.5 * capacityPerSecond, 2000);
	await simulation.send(1000, 4);
	await simulation.send(0.5 * capacityPerSecond, 2000);
	await clock.tickAsync(1000);
	t.true(simulation.requests.every(({outcome}) => outcome === 'run'));
});
