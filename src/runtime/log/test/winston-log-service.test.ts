import process from 'node:process';
import test from 'ava';
import {testSettings} from '../../peer/test/peer-fixture.js';
import {FixedSettingsService} from '../../settings/fixed-settings-service.js';
import {WinstonLogService} from '../winston-log-service.js';

test('a line is JSON with level, node, availability zone and the fields given; lower levels are left out', t => {
	const lines: string[] = [];
	const {write} = process.stdout;
	const log = new WinstonLogService(new FixedSettingsService({...testSettings('node-a'), logLevel: 'info'}));
	process.stdout.write = (chunk: string | Uint8Array) => lines.push(String(chunk)) > 0;
	log.info('call failed', {requestId: 'r-1'});
	log.debug('not written');
	process.stdout.write = write;
	log.dispose();
	t.is(lines.length, 1);
	t.like(JSON.parse(lines[0]), {
		level: 'info', message: 'call failed', node: 'node-a', availabilityZone: 'zone-a', requestId: 'r-1',
	});
});
