import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {type LogService} from '../../../runtime/log/log-service.js';
import {LoadLog} from '../load-log.js';

test.serial('a busy node logs one line per second, an idle node none', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const lines: unknown[] = [];
	const log: LogService = {
		debug() {/* Discarded. */},
		info(message, fields) {
			lines.push({message, ...fields});
		},
		warn() {/* Discarded. */},
		error() {/* Discarded. */},
	};
	let running: number | undefined = 3;
	const loadLog = new LoadLog(log, [{reportLoad: () => running === undefined ? undefined : {running}}, {reportLoad: () => undefined}]);
	clock.tick(3000);
	t.is(lines.length, 3);
	t.like(lines[0], {message: 'load', running: 3, timerLateMs: 0});
	running = undefined;
	clock.tick(3000);
	t.is(lines.length, 3);
	loadLog.dispose();
	running = 1;
	clock.tick(3000);
	t.is(lines.length, 3);
});
