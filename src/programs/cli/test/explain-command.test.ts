import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test, {type ExecutionContext as Context} from 'ava';
import {ExitStatus} from '../exit-status.js';
import {runCli} from '../run-cli.js';

const line = (time: number, node: string, id: string, message: string, inputs: Readonly<Record<string, unknown>>) => JSON.stringify({
	level: 'info', time, node, availabilityZone: 'north', id, message, ...inputs,
});

/** Logs of two nodes; in one, each line has the prefix of a log collector. */
const entryLog = [
	line(1000, 'entry', 'r1', 'relayed', {route: 'book', attempts: [{node: 'desk', status: 500, offered: true}]}),
	line(1002, 'entry', 'r10', 'refused early', {service: 'ledger'}),
	'not a line of ours that names r1',
	'{"level":"info","id":"r1","cut',
].join('\n');
const deskLog = [
	`12.5 desk | ${line(990, 'desk', 'r1.1', 'not executed', {kind: 'overloaded', running: 8, limit: 8})}`,
	`12.6 desk | ${line(995, 'desk', 'r1.1', 'failed', {status: 503, kind: 'overloaded', retryAfterMs: 400})}`,
].join('\n');

async function explain(t: Context, requestId: string, ...flags: string[]) {
	const directory = await mkdtemp(join(tmpdir(), 'kumquatline-'));
	t.teardown(async () => rm(directory, {recursive: true}));
	const files = await Promise.all([entryLog, deskLog].map(async (content, index) => {
		const file = join(directory, `${index}.log`);
		await writeFile(file, content);
		return ['--log', file];
	}));
	let stdout = '';
	let stderr = '';
	const status = await runCli(['explain', requestId, ...files.flat(), ...flags], {
		stdout(text) {
			stdout += text;
		},
		stderr(text) {
			stderr += text;
		},
	});
	return {status, stdout, stderr};
}

test('decisions about a request and its calls are listed in the order of time, and those about other requests are left out', async t => {
	const {status, stdout} = await explain(t, 'r1');
	t.is(status, ExitStatus.Ok);
	t.snapshot(stdout);
});

test('--json prints the log lines', async t => {
	const {stdout} = await explain(t, 'r1', '--json');
	const lines = JSON.parse(stdout) as ReadonlyArray<{readonly id: string}>;
	t.deepEqual(lines.map(({id}) => id), ['r1.1', 'r1.1', 'r1']);
});

test('a request that no log line names is an error', async t => {
	const {status, stdout, stderr} = await explain(t, 'r2');
	t.is(status, ExitStatus.Failed);
	t.is(stdout, '');
	t.regex(stderr, /no log line names r2/v);
});

test('a log file that cannot be read is a usage error', async t => {
	const {status, stderr} = await explain(t, 'r1', '--log', 'missing.log');
	t.is(status, ExitStatus.UsageInvalid);
	t.regex(stderr, /missing\.log/v);
});
