import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify, stripVTControlCharacters} from 'node:util';
import test from 'ava';

const run = promisify(execFile);
const program = fileURLToPath(new URL('../../../../../kumquatline-node', import.meta.url));
const required = ['--node-id', 'a1', '--availability-zone', 'north', '--store-urls', 'http://127.0.0.1:2379'];

type ProgramResult = {readonly code: number; readonly stdout: string; readonly stderr: string};

/** Runs the program with only the given variables in its environment. */
async function runProgram(args: readonly string[], variables: ReadonlyArray<[string, string]> = []): Promise<ProgramResult> {
	try {
		const {stdout, stderr} = await run(process.execPath, [program, ...args], {env: Object.fromEntries(variables)});
		return {code: 0, stdout, stderr};
	} catch (error) {
		const {code, stdout, stderr} = error as ProgramResult;
		return {code, stdout, stderr};
	}
}

test('--help shows every setting with its environment variable', async t => {
	const {code, stdout} = await runProgram(['--help']);
	t.is(code, 0);
	t.snapshot(stripVTControlCharacters(stdout));
});

test('--version prints only the version', async t => {
	const {code, stdout} = await runProgram(['--version']);
	t.is(code, 0);
	t.regex(stdout, /^\d+\.\d+\.\d+\n$/v);
});

test('--check-settings exits with 0 for valid settings and opens no port', async t => {
	t.deepEqual(await runProgram([...required, '--check-settings']), {code: 0, stdout: '', stderr: ''});
});

test('settings are read from the environment', async t => {
	const {code} = await runProgram(['--check-settings'], [
		['KUMQUATLINE_NODE_ID', 'a1'],
		['KUMQUATLINE_AVAILABILITY_ZONE', 'north'],
		['KUMQUATLINE_STORE_URLS', 'http://127.0.0.1:2379'],
	]);
	t.is(code, 0);
});

test('an invalid environment variable is named, with its own exit status', async t => {
	const {code, stderr} = await runProgram([...required, '--check-settings'], [['KUMQUATLINE_LEASE_TTL_MS', 'soon']]);
	t.is(code, 2);
	t.regex(stderr, /KUMQUATLINE_LEASE_TTL_MS\): "soon" is not a whole number from 2000 to 60000/v);
});

test('a conflict between settings is reported, with the same exit status', async t => {
	const {code, stderr} = await runProgram([...required, '--lease-margin-ms', '9000']);
	t.is(code, 2);
	t.regex(stderr, /lease-margin-ms: 9000 is more than half of lease-ttl-ms \(10000\)/v);
});

test('a missing setting is named', async t => {
	const {code, stderr} = await runProgram(['--check-settings']);
	t.is(code, 2);
	t.regex(stderr, /node-id/v);
});

test('a port that is in use ends the program with status 1 and is named', async t => {
	const {createServer} = await import('node:net');
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as {port: number};
	const {code, stderr} = await runProgram([...required, '--peer-port', String(port)]);
	server.close();
	t.is(code, 1);
	t.regex(stderr, new RegExp(`EADDRINUSE.*127.0.0.1:${port}`, 'v'));
});
