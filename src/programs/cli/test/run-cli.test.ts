import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test, {type ExecutionContext as Context} from 'ava';
import {type LocalPeers} from '../../../services/policy/test/local-peers.js';
import {MemoryStore} from '../../../services/policy/test/memory-store.js';
import {OperatorServer} from '../../../services/policy/test/operator-server.js';
import {PolicyNode} from '../../../services/policy/test/policy-node.js';
import {sampleDocument} from '../../../services/policy/test/sample-document.js';
import {ExitStatus} from '../exit-status.js';
import {runCli} from '../run-cli.js';

type CliResult = {readonly status: ExitStatus; readonly stdout: string; readonly stderr: string};

async function run(...args: string[]): Promise<CliResult> {
	let stdout = '';
	let stderr = '';
	const status = await runCli(args, {
		stdout(text) {
			stdout += text;
		},
		stderr(text) {
			stderr += text;
		},
	});
	return {status, stdout, stderr};
}

async function setUp(t: Context) {
	const store = new MemoryStore();
	const server = new OperatorServer(new PolicyNode('node', store, new Map<string, LocalPeers>()));
	const directory = await mkdtemp(join(tmpdir(), 'kumquatline-'));
	t.teardown(async () => {
		server.dispose();
		await rm(directory, {recursive: true});
	});
	await server.listen();
	const runAtNode = async (...args: string[]): Promise<CliResult> => {
		const {status, stdout, stderr} = await run(...args, '--node', server.url);
		const redact = (text: string): string => text.replaceAll(server.url, 'URL').replaceAll(directory, 'DIRECTORY').replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/gv, 'TIME');
		return {status, stdout: redact(stdout), stderr: redact(stderr)};
	};

	const file = async (name: string, content: unknown): Promise<string> => {
		const path = join(directory, name);
		await writeFile(path, JSON.stringify(content));
		return path;
	};

	return {
		server, store, run: runAtNode, file,
	};
}

/** Long enough for a first answer on a busy machine. */
const waitTimeoutMs = 3000;
const replaceTimeout = [{op: 'replace', path: '/operations/0/timeoutMs', value: 3000}];

test('every command has a complete help text', async t => {
	const commands = ['', 'nodes', 'status', 'explain', 'policy', ...['init', 'show', 'validate', 'diff', 'patch', 'history', 'wait', 'restore'].map(name => `policy ${name}`)];
	for (const command of commands) {
		const {stdout, status} = await run(...command.split(' ').filter(Boolean), '--help');
		t.is(status, ExitStatus.Ok);
		t.snapshot(stdout, `kumquatline ${command}`);
	}
});

test('a policy is created, patched and waited for', async t => {
	const {run: runAtNode, file} = await setUp(t);
	const document = await file('policy.json', sampleDocument);
	const patch = await file('patch.json', {patchId: 'p1', baseVersion: 1, operations: replaceTimeout});
	const wanted = await file('wanted.json', {...sampleDocument, retryShare: 0.2});
	const runs = [
		await runAtNode('policy', 'show'),
		await runAtNode('policy', 'validate', document),
		await runAtNode('policy', 'init', document),
		await runAtNode('policy', 'init', document),
		await runAtNode('policy', 'validate', patch),
		await runAtNode('policy', 'patch', patch),
		await runAtNode('policy', 'patch', patch),
		await runAtNode('policy', 'patch', patch, '--patch-id', 'p2', '--json'),
		await runAtNode('policy', 'patch', patch, '--patch-id', 'p2', '--base-version', '2', '--json'),
		await runAtNode('policy', 'wait', '3'),
		await runAtNode('nodes'),
		await runAtNode('status'),
		await runAtNode('status', '--one-node'),
	];
	t.snapshot(runs);
	const diff = await runAtNode('policy', 'diff', wanted, '--json');
	const {patchId, ...rest} = JSON.parse(diff.stdout) as {patchId: string};
	t.snapshot(rest);
	const history = await runAtNode('policy', 'history', '--json');
	t.is((JSON.parse(history.stdout) as {patches: unknown[]}).patches.length, 3);
});

test('waiting fails with its own exit status if a reachable node stays at an earlier version', async t => {
	const {server, run: runAtNode, file} = await setUp(t);
	await runAtNode('policy', 'init', await file('policy.json', sampleDocument));
	const member = {
		nodeId: 'late', incarnation: 'late-1', availabilityZone: 'b', region: 'perth-metro', address: '127.0.0.1', callerPort: 1, state: 'serving', slots: 1, policyVersion: 0,
	};
	server.members = [member, {...member, nodeId: 'cut-off', state: 'suspect'}];
	t.snapshot(await runAtNode('policy', 'wait', '1', '--timeout-ms', String(waitTimeoutMs)));
	server.members = [{...member, policyVersion: 1}, {...member, nodeId: 'cut-off', state: 'suspect'}];
	t.snapshot(await runAtNode('policy', 'wait', '1', '--timeout-ms', String(waitTimeoutMs)));
});

test('failures are distinguished by exit status', async t => {
	const {store, run: runAtNode, file} = await setUp(t);
	await runAtNode('policy', 'init', await file('policy.json', sampleDocument));
	const operations = await file('operations.json', replaceTimeout);
	const bad = await file('bad.json', [{op: 'remove', path: '/services/9'}]);
	const runs = [
		await runAtNode('policy', 'patch', operations),
		await runAtNode('policy', 'patch', 'nowhere.json'),
		await runAtNode('policy', 'patch', bad, '--base-version', '1'),
		await runAtNode('policy', 'patch', await file('none.json', []), '--base-version', '1'),
	];
	store.isUnreachable = true;
	runs.push(await runAtNode('policy', 'patch', operations, '--base-version', '1', '--patch-id', 'p1'));
	store.isUnreachable = false;
	store.beforeSwap = () => {
		store.isUnreachable = true;
		store.resultsToLose = 1;
	};

	runs.push(await runAtNode('policy', 'patch', operations, '--base-version', '1', '--patch-id', 'p1', '--timeout-ms', '500'));
	t.snapshot(runs);
	t.deepEqual(runs.map(({status}) => status), [
		ExitStatus.UsageInvalid, ExitStatus.UsageInvalid, ExitStatus.PolicyInvalid, ExitStatus.Ok, ExitStatus.Unavailable, ExitStatus.OutcomeUnknown,
	]);
});

test('the policy is restored to a store that lost it', async t => {
	const {store, server, run: runAtNode, file} = await setUp(t);
	const patch = await file('patch.json', {patchId: 'p1', baseVersion: 1, operations: replaceTimeout});
	await runAtNode('policy', 'init', await file('policy.json', sampleDocument));
	const runs = [await runAtNode('policy', 'restore')];
	await store.compareAndDelete('/kumquatline/policy');
	runs.push(await runAtNode('policy', 'patch', patch));
	const later = {
		nodeId: 'later', incarnation: 'later-1', availabilityZone: 'b', region: 'perth-metro', address: '127.0.0.1', callerPort: 1, state: 'serving', slots: 1, policyVersion: 2,
	};
	server.members = [later];
	runs.push(await runAtNode('policy', 'restore'));
	server.members = [];
	runs.push(await runAtNode('policy', 'restore'), await runAtNode('policy', 'patch', patch));
	t.snapshot(runs);
	t.deepEqual(runs.map(({status}) => status), [
		ExitStatus.PolicyConflict, ExitStatus.PolicyConflict, ExitStatus.PolicyConflict, ExitStatus.Ok, ExitStatus.Ok,
	]);
});
