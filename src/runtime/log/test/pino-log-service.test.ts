import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {testSettings} from '../../peer/test/peer-fixture.js';
import {FixedSettingsService} from '../../settings/fixed-settings-service.js';
import {PinoLogService} from '../pino-log-service.js';

const lines: string[] = [];

class MemoryLogService extends PinoLogService {
	protected override openDestination() {
		return {
			write(line: string) {
				lines.push(line);
			},
			flush() {/* Written at once. */},
			flushSync() {/* Written at once. */},
			on() {/* Nothing is dropped. */},
		};
	}
}

function openLog(): MemoryLogService {
	lines.length = 0;
	return new MemoryLogService(new FixedSettingsService({...testSettings('node-a'), logLevel: 'info'}));
}

test.serial('a line is JSON with level, node, availability zone and the given fields; lower levels are not written', t => {
	const log = openLog();
	log.info('call failed', {requestId: 'r-1'});
	log.debug('not written');
	log.dispose();
	t.is(lines.length, 1);
	t.like(JSON.parse(lines[0]), {
		level: 'info', message: 'call failed', node: 'node-a', availabilityZone: 'zone-a', requestId: 'r-1',
	});
});

test.serial('the number of lines per second is limited, and the number of dropped lines is logged', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const log = openLog();
	for (let index = 0; index < 1200; index++) {
		log.debug('below the level', {index});
		log.info('request', {index});
	}

	log.error('always written');
	t.is(lines.length, 1001);
	clock.tick(1000);
	t.like(JSON.parse(lines.at(-1)!), {message: 'log lines left out', lines: 200});
	log.info('again');
	t.like(JSON.parse(lines.at(-1)!), {message: 'again'});
	log.dispose();
});
