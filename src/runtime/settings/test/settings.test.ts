import test from 'ava';
import {command, runSafely} from 'cmd-ts';
import {checkSettings} from '../check-settings.js';
import {settingArguments} from '../setting-arguments.js';

const program = command({name: 'kumquatline-node', args: settingArguments, handler: settings => settings});
const required = ['--node-id', 'a1', '--availability-zone', 'north', '--store-urls', 'http://127.0.0.1:2379'];

const refused = [
	['--caller-port', '70000'],
	['--address', 'localhost'],
	['--store-urls', 'http://example.test:1'],
	['--lease-ttl-ms', '10s'],
	['--statsd-address', '127.0.0.1'],
	['--node-id', 'Not A Name'],
	['--log-level', 'loud'],
];

for (const [flag, value] of refused) {
	test(`${flag} ${value} is rejected with a message that names the flag`, async t => {
		const base = required.flatMap((item, index) => item === flag || required[index - 1] === flag ? [] : [item]);
		const result = await runSafely(program, [...base, flag, value]);
		t.is(result._tag, 'error');
		const message = result._tag === 'error' ? result.error.config.message : '';
		// eslint-disable-next-line no-control-regex
		t.snapshot(message.replaceAll(/\u001B\[\d+m/gv, ''));
	});
}

test('default settings do not conflict', async t => {
	const result = await runSafely(program, required);
	t.is(result._tag, 'ok');
	if (result._tag === 'ok') {
		t.deepEqual(checkSettings(result.value), []);
	}
});

test('conflicts between settings are reported', async t => {
	const result = await runSafely(program, [...required, '--lease-ttl-ms', '2500', '--lease-margin-ms', '2000', '--clock-skew-bound-ms', '5000', '--peer-port', '7080']);
	t.is(result._tag, 'ok');
	if (result._tag === 'ok') {
		t.snapshot(checkSettings(result.value));
	}
});
