import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {readSettings} from '../settings/read-settings.js';

const text = `node = "vm-1"
role = "node"
ip = "10.1.0.8"
zone = "zone-a"
region = "region-a"
portRange = [7620,7635]
seedAddrs = ["10.1.0.9:8306"]
beatS = 1.5
newField = "ignored"
bounds = ["drainS=2","graceS=6","retryRatio=0.2","retryWindowS=10","retrySlack=48","odd=true"]
appAddr = "10.1.0.8:8301"
service = "s1"
[listen]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
control = "10.1.0.8:8306"
[platform]
address = "10.200.1.7:8309"
form = "kv"
minTtlS = 1
`;

function read(t: {teardown(release: () => void): void}, content: string) {
	const directory = mkdtempSync(join(tmpdir(), 'settings-'));
	t.teardown(() => {
		rmSync(directory, {recursive: true});
	});
	const path = join(directory, 'settings.toml');
	writeFileSync(path, content);
	return readSettings(path);
}

test('the platform\'s settings are converted to settings of the node; unknown fields are ignored', t => {
	t.snapshot(read(t, text));
});

const malformed: ReadonlyArray<readonly [content: string, message: RegExp]> = [
	[text.replace('appAddr = "10.1.0.8:8301"', 'appAddr = "nowhere"'), /appAddr/v],
	[text.replace('node = "vm-1"', ''), /node/v],
	[text.replace('portRange = [7620,7635]', 'portRange = "7620"'), /portRange/v],
	['node = ', /settings\.toml/v],
];

for (const [content, message] of malformed) {
	test(`an error names the invalid field or file: ${message.source}`, t => {
		t.throws(() => read(t, content), {message});
	});
}
