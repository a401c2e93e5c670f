import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {type RelaySettingsService} from '../../../runtime/settings/relay-settings-service.js';
import {InstanceTracker} from '../instance-tracker.js';
import {type InstanceReport} from '../instance-report.js';

const log = {
	debug() {/* Discarded. */}, info() {/* Discarded. */}, warn() {/* Discarded. */}, error() {/* Discarded. */},
};
const settings = {relay: {announceIntervalMs: 1500}} as unknown as RelaySettingsService;

function report(instanceId: string, bootedAtMs: number, sequence: number, draining = false): InstanceReport {
	return {
		instanceId, bootedAtMs, sequence, draining, service: 's', slots: 1, coldRemainingMs: 0,
	};
}

function createTracker(): InstanceTracker {
	return new InstanceTracker(settings, log);
}

test.serial('a late report of the same or an earlier instance is ignored', t => {
	const tracker = createTracker();
	tracker.report(report('b', 200, 5, true));
	tracker.report(report('b', 200, 4));
	tracker.report(report('a', 100, 99));
	t.like(tracker.current, {instanceId: 'b', sequence: 5, draining: true});
	tracker.report(report('c', 300, 1));
	t.like(tracker.current, {instanceId: 'c', draining: false});
	tracker.dispose();
});

test.serial('a late report does not bring back an instance that has departed, but a later boot under its id is accepted', t => {
	const tracker = createTracker();
	tracker.report(report('a', 100, 5));
	tracker.recordDeparture('a');
	t.is(tracker.current, undefined);
	tracker.report(report('a', 100, 6));
	t.is(tracker.current, undefined);
	tracker.report(report('a', 200, 1));
	t.like(tracker.current, {instanceId: 'a', sequence: 1});
	tracker.recordDeparture('b');
	t.truthy(tracker.current);
	tracker.dispose();
});

test.serial('a departure that arrives before any report invalidates reports that were sent before it, but not a later boot', t => {
	const clock = install({now: 1000});
	t.teardown(() => {
		clock.uninstall();
	});
	const tracker = createTracker();
	tracker.recordDeparture('a');
	clock.tick(2000);
	tracker.report(report('a', 500, 7));
	t.is(tracker.current, undefined);
	tracker.report(report('a', 2500, 1));
	t.like(tracker.current, {instanceId: 'a', bootedAtMs: 2500});
	tracker.dispose();
});

test.serial('an instance that was silent is accepted again with its next report, unless it has departed', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const tracker = createTracker();
	tracker.report(report('a', 100, 5));
	clock.tick(7000);
	t.is(tracker.current, undefined);
	tracker.report(report('a', 100, 4));
	t.is(tracker.current, undefined);
	tracker.report(report('a', 100, 6));
	t.like(tracker.current, {instanceId: 'a', sequence: 6});
	clock.tick(7000);
	tracker.recordDeparture('a');
	tracker.report(report('a', 100, 7));
	t.is(tracker.current, undefined);
	tracker.dispose();
});

test.serial('an instance that stops reporting counts as departed', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const tracker = createTracker();
	tracker.report(report('a', 100, 5));
	clock.tick(5999);
	t.truthy(tracker.current);
	clock.tick(1);
	t.is(tracker.current, undefined);
	tracker.dispose();
});
