import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {BackendServerStandIn} from '../backend-server-stand-in.js';
import {type BackendServerOptions} from '../backend-server-options.js';

async function makeStandIn(t: ExecutionContext, changes: Partial<BackendServerOptions> = {}) {
	const standIn = new BackendServerStandIn({
		service: 'returns', slots: 1, announcedSlots: 1, connections: 8, serviceTimeMs: 1, coldStartMs: 0, availabilityZone: 'a', calls: [], seed: 1, ...changes,
	});
	await standIn.start();
	t.teardown(async () => standIn.stop());
	return {standIn, url: `http://127.0.0.1:${standIn.port}`};
}

test('an answer carries the request id and a digest of the body', async t => {
	const {standIn, url} = await makeStandIn(t);
	const {statusCode, body} = await request(`${url}/collections`, {method: 'POST', body: 'bare site', headers: {'kumquatline-request-id': 'id-1'}});
	t.is(statusCode, 200);
	t.like(await body.json(), {requestId: 'id-1', target: '/collections', bodyDigest: '49938aa1d4354ebd89135b4b47f3825cf83dff1c68363c189d75c88b184a65b7'});
	t.is(standIn.history.length, 1);
});

test('a closed connection cancels the execution before it takes effect', async t => {
	const {standIn, url} = await makeStandIn(t, {serviceTimeMs: 60_000});
	const leaving = new AbortController();
	const running = request(`${url}/collections`, {signal: leaving.signal});
	while (standIn.history.length === 0) {
		await delay(1);
	}

	leaving.abort();
	await t.throwsAsync(running, {any: true});
	while (standIn.history[0].endedAtMs === undefined) {
		await delay(1);
	}

	t.is(standIn.history[0].effectAtMs, undefined);
});

test('a shed request is marked as not started only if its execution did not start', async t => {
	const {standIn, url} = await makeStandIn(t);
	standIn.setFaults({shedShare: 1});
	const before = await request(`${url}/collections`);
	t.is(before.statusCode, 503);
	t.is(before.headers['kumquatline-started'], 'no');
	t.is(standIn.history.length, 0);

	standIn.setFaults({shedShare: 1, shedAfterBegin: true});
	const after = await request(`${url}/collections`);
	t.is(after.statusCode, 503);
	t.is(after.headers['kumquatline-started'], undefined);
	t.is(standIn.history.length, 1);
});

test('an inner call carries the context header verbatim', async t => {
	const contexts: unknown[] = [];
	const node = createServer((request, response) => {
		contexts.push(request.headers['kumquatline-context']);
		response.end(JSON.stringify({target: request.url}));
	});
	node.listen(0, '127.0.0.1');
	await once(node, 'listening');
	t.teardown(() => node.close());

	const {port} = node.address() as AddressInfo;
	const {url} = await makeStandIn(t, {nodeBackendUrl: `http://127.0.0.1:${port}`, calls: ['GET /stock', 'POST /charges']});
	const {body} = await request(`${url}/hires`, {headers: {'kumquatline-context': 'opaque'}});
	t.like(await body.json(), {target: '/hires', subCalls: [{target: '/stock'}, {target: '/charges'}]});
	t.deepEqual(contexts, [undefined, 'opaque', 'opaque']);
});
