import test from 'ava';
import {request} from 'undici';
import {MemoryStore} from './memory-store.js';
import {OperatorServer} from './operator-server.js';
import {PolicyNode} from './policy-node.js';
import {sampleDocument} from './sample-document.js';

type Exchange = {readonly status: number; readonly answer: any};

async function openNode(teardown: (release: () => void) => void) {
	const server = new OperatorServer(new PolicyNode('node', new MemoryStore(), new Map()));
	teardown(() => {
		server.dispose();
	});
	await server.listen();
	return async (path: string, body?: unknown): Promise<Exchange> => {
		const text = typeof body === 'string' ? body : JSON.stringify(body);
		const url = `${server.url}/kumquatline/policy${path}`;
		const response = await request(url, body === undefined ? {} : {method: 'POST', body: text});
		return {status: response.statusCode, answer: await response.body.json()};
	};
}

test('operators create, validate, patch and read the policy', async t => {
	const exchange = await openNode(release => {
		t.teardown(release);
	});
	const patch = {patchId: 'p1', baseVersion: 1, operations: [{op: 'replace', path: '/operations/0/timeoutMs', value: 3000}]};
	const answers = [
		await exchange(''),
		await exchange('/validate', sampleDocument),
		await exchange('/init', sampleDocument),
		await exchange('/init', {...sampleDocument, retryShare: 0.2}),
		await exchange('/validate', patch),
		await exchange('/patch', patch),
		await exchange('/patch', patch),
		await exchange('/patch', {...patch, patchId: 'p2'}),
		await exchange(''),
	];
	t.snapshot(answers);
	const history = await exchange('/history');
	t.is(history.answer.patches.length, 2);
});

test('a malformed change is rejected as a whole and all its problems are listed', async t => {
	const exchange = await openNode(release => {
		t.teardown(release);
	});
	await exchange('/init', sampleDocument);
	const operations = [
		[{op: 'replace', path: '/operations/0/service', value: 'nowhere'}, {op: 'replace', path: '/operations/1/name', value: 'stock'}],
		[{op: 'replace', path: '/operations/0/idempotent', value: false}],
		[{op: 'add', path: '/operations/-', value: {...sampleDocument.operations[0], name: 'again', path: '/stock/:other'}}],
		[{op: 'replace', path: '/operations/0/path', value: '/kumquatline/x'}],
		[{op: 'replace', path: '/version', value: 9}],
		[{op: 'remove', path: '/operations/7'}],
		[{op: 'test', path: '/retryShare', value: 0.5}],
		[{op: 'replace', path: '/callers', value: []}],
		[{op: 'add', path: '/__proto__/x', value: 1}],
		[],
	];
	const answers = [];
	for (const [index, list] of operations.entries()) {
		answers.push(await exchange('/patch', {patchId: `p${index}`, baseVersion: 1, operations: list}));
	}

	t.snapshot([...answers, await exchange('/patch', '{"patchId":'), await exchange('/patch', [])]);
	const document = await exchange('');
	t.is(document.answer.version, 1);
});
