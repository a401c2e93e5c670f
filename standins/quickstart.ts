// Starts a small graph on loopback, sends requests to it, prints the answers and exits.
import process from 'node:process';
import {request} from 'undici';
import {v7 as uuidv7} from 'uuid';
import {samplePlan} from './graph/sample-plan.js';
import {ProcessGraph} from './graph/process-graph.js';

type Shown = {readonly status: number; readonly requestId: string; readonly text: string};

const graph = new ProcessGraph(samplePlan(1));

/** Sends a request to a node and returns what its caller gets. */
async function send(nodeId: string, method: 'GET' | 'POST', path: string, headers: Record<string, string> = {}, body?: unknown): Promise<Shown> {
	const response = await request(`${graph.node(nodeId).url}${path}`, {
		method,
		headers: {'content-type': 'application/json', ...headers},
		body: body === undefined ? null : JSON.stringify(body),
	});
	const requestId = String(response.headers['kumquatline-request-id'] ?? '');
	return {status: response.statusCode, requestId, text: await response.body.text()};
}

function show(title: string, {status, requestId, text}: Shown): void {
	console.log(`\n${title}\n  ${status}  request ${requestId}\n  ${text.slice(0, 200)}`);
}

async function showReads(): Promise<void> {
	show('A read, sent to a node of another service in availability zone south:', await send('south-dispatch', 'GET', '/panels/42'));
}

async function showExtension(): Promise<void> {
	const key = uuidv7();
	const extension = {hireId: 'h-7', days: 3};
	const headers = {'idempotency-key': key, 'kumquatline-caller': 'builder'};
	const first = await send('north-catalogue', 'POST', '/extensions', headers, extension);
	const second = await send('south-catalogue', 'POST', '/extensions', headers, extension);
	show('An extension of a hire, which also writes a job sheet at a second service:', first);
	show('The same extension with the same Idempotency-Key, sent to another node; it gets the same answer and is not executed again:', second);
	if (first.status !== 200 || first.text !== second.text) {
		throw new Error('the extension failed, or the second request with its Idempotency-Key got a different answer');
	}

	show('The same extension without an Idempotency-Key is rejected:', await send('north-catalogue', 'POST', '/extensions', {}, extension));
}

async function showPatch(): Promise<void> {
	const patch = {
		patchId: 'quickstart-1',
		baseVersion: 1,
		operations: [{op: 'replace', path: '/operations/0/timeoutMs', value: 1500}],
	};
	show('A policy patch based on version 1:', await send('north-hire-desk', 'POST', '/kumquatline/policy/patch', {}, patch));
	show(
		'Another patch based on version 1 is rejected completely, because version 2 is in force:',
		await send('south-hire-desk', 'POST', '/kumquatline/policy/patch', {}, {...patch, patchId: 'quickstart-2'}),
	);
}

try {
	console.log('Starting a store, six nodes in two availability zones and their backend servers …');
	await graph.start();
	await showReads();
	await showExtension();
	await showPatch();
	console.log('\nDone. Read docs/CALLERS.md and docs/OPERATIONS.md next.');
} catch (error) {
	console.error(error);
	process.exitCode = 1;
} finally {
	await graph.dispose();
}
