import test from 'ava';
import {BackendServerStandIn} from '../../backend-server/backend-server-stand-in.js';
import {CallerStandIn} from '../caller-stand-in.js';
import {RequestOutcome} from '../request-outcome.js';

test('requests are retried, and their outcomes are checked and recorded', async t => {
	const backendServer = new BackendServerStandIn({
		service: 'returns', slots: 8, announcedSlots: 8, connections: 8, serviceTimeMs: 1, coldStartMs: 0, availabilityZone: 'a', calls: [], seed: 1,
	});
	await backendServer.start();
	t.teardown(async () => backendServer.stop());
	backendServer.setFaults({shedShare: 0.5});

	const caller = new CallerStandIn({
		nodeUrls: [`http://127.0.0.1:${backendServer.port}`],
		operations: [
			{
				name: 'stock', method: 'GET', path: '/stock', weight: 1, caller: 'foreman',
			},
			{
				name: 'charge', method: 'POST', path: '/charges', weight: 1, caller: 'foreman',
			},
		],
		phases: [{durationMs: 1000, ratePerSecond: 100}],
		maxRequests: 40,
		oneWayDelayMs: 0,
		patienceMs: 10_000,
		attemptTimeoutMs: 5000,
		maxAttempts: 20,
		retryDelayMs: 1,
		seed: 7,
	});
	const records = await caller.run();
	t.is(records.length, 40);
	t.true(records.every(({outcome}) => outcome === RequestOutcome.Complete));
	t.true(records.some(({attempts}) => attempts > 1));
	t.deepEqual([...new Set(records.map(({operation}) => operation))].sort(), ['charge', 'stock']);
});
