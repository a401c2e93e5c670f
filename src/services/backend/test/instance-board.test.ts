import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {type RelaySettingsService} from '../../../runtime/settings/relay-settings-service.js';
import {InstanceBoard} from '../instance-board.js';
import {type InstanceReport} from '../instance-report.js';

const log = {
	debug() {/* Quiet. */}, info() {/* Quiet. */}, warn() {/* Quiet. */}, error() {/* Quiet. */},
};
const settings = {relay: {announceIntervalMs: 1500}} as unknown as RelaySettingsService;

function report(instanceId: string, bornAtMs: number, sequence: number, draining = false): InstanceReport {
	return {
		instanceId, bornAtMs, sequence, draining, service: 's', slots: 1, coldLeftMs: 0,
	};
}

function openBoard(): InstanceBoard {
	return new InstanceBoard(settings, log);
}

test.serial('a late report of the same or an earlier instance is ignored', t => {
	const board = openBoard();
	board.report(report('b', 200, 5, true));
	board.report(report('b', 200, 4));
	board.report(report('a', 100, 99));
	t.like(board.current, {instanceId: 'b', sequence: 5, draining: true});
	board.report(report('c', 300, 1));
	t.like(board.current, {instanceId: 'c', draining: false});
	board.dispose();
});

test.serial('a late report does not bring back an instance that has departed, but a later boot under its id is accepted', t => {
	const board = openBoard();
	board.report(report('a', 100, 5));
	board.leave('a');
	t.is(board.current, undefined);
	board.report(report('a', 100, 6));
	t.is(board.current, undefined);
	board.report(report('a', 200, 1));
	t.like(board.current, {instanceId: 'a', sequence: 1});
	board.leave('b');
	t.truthy(board.current);
	board.dispose();
});

test.serial('a departure that arrives before any report invalidates reports that were sent before it, but not a later boot', t => {
	const clock = install({now: 1000});
	t.teardown(() => {
		clock.uninstall();
	});
	const board = openBoard();
	board.leave('a');
	clock.tick(2000);
	board.report(report('a', 500, 7));
	t.is(board.current, undefined);
	board.report(report('a', 2500, 1));
	t.like(board.current, {instanceId: 'a', bornAtMs: 2500});
	board.dispose();
});

test.serial('an instance that was silent is accepted again with its next report, unless it has departed', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const board = openBoard();
	board.report(report('a', 100, 5));
	clock.tick(7000);
	t.is(board.current, undefined);
	board.report(report('a', 100, 4));
	t.is(board.current, undefined);
	board.report(report('a', 100, 6));
	t.like(board.current, {instanceId: 'a', sequence: 6});
	clock.tick(7000);
	board.leave('a');
	board.report(report('a', 100, 7));
	t.is(board.current, undefined);
	board.dispose();
});

test.serial('an instance that stops reporting counts as departed', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const board = openBoard();
	board.report(report('a', 100, 5));
	clock.tick(5999);
	t.truthy(board.current);
	clock.tick(1);
	t.is(board.current, undefined);
	board.dispose();
});
