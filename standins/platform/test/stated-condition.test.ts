import test from 'ava';
import {MemberState} from '../../../src/services/membership/member-state.js';
import {send, until} from './relay-fixture.js';
import {startPair} from './start-pair.js';

// The limit was held by the node beside the backend server alone, which forgot it in a restart.
test('a restarted node keeps the limit that its backend server has stated to callers of other nodes', async t => {
	const {mesh, desk, catalogue} = await startPair(t);
	const {backend} = catalogue;
	backend.statedLimit = 4;
	t.like(await send(desk.node.ports.outbound, {host: 'a.example', path: '/read/x', id: 'first'}), {status: 200});
	await catalogue.node.stop();
	catalogue.node.dispose();
	const restarted = await mesh.startNodeOf(backend, 'catalogue-1', 'zone-b');
	const {incarnation} = restarted.membership.self;
	await backend.report(restarted.node.ports.control, {seq: 2});
	await until(() => desk.membership.upstreams('catalogue').some(member => member.incarnation === incarnation));
	backend.executionMs = 300;
	const startedAtMs = performance.now();
	const answers = await Promise.all(Array.from({length: 20}, async (_, index) => send(desk.node.ports.outbound, {
		host: 'a.example', path: '/read/x', id: `burst-${index}`,
	})));
	const elapsedMs = performance.now() - startedAtMs;
	const maxExecutions = 1 + (backend.statedLimit * elapsedMs / 1000);
	t.true(backend.executions.length - 1 <= maxExecutions, `${backend.executions.length - 1} executions, ${maxExecutions} allowed`);
	t.true(answers.some(({status}) => status === 200));
	// A request that starts shortly before the route's timeout may be cut by it.
	t.true(answers.every(({status}) => [200, 503, 504].includes(status)));
});

// Only reports and the departure call told that a backend server leaves, not its answers.
test('a backend server whose answer states that it leaves gets no more requests, also after a restart of its node', async t => {
	const {mesh, desk, catalogue} = await startPair(t);
	const {backend} = catalogue;
	const request = {host: 'a.example', path: '/read/x', id: 'first'};
	backend.isLeaving = true;
	t.like(await send(desk.node.ports.outbound, request), {status: 200});
	await backend.report(catalogue.node.ports.control, {seq: 2});
	t.like(await send(desk.node.ports.outbound, {...request, id: 'second'}), {status: 503});
	t.like(await send(catalogue.node.ports.outbound, {...request, id: 'third'}), {status: 503});
	await until(() => desk.membership.find('catalogue-1')?.state === MemberState.Draining);

	catalogue.node.dispose();
	const restarted = await mesh.startNodeOf(backend, 'catalogue-1', 'zone-b');
	const {incarnation} = restarted.membership.self;
	await backend.report(restarted.node.ports.control, {seq: 3});
	await until(() => desk.membership.upstreams('catalogue').some(member => member.incarnation === incarnation));
	t.like(await send(desk.node.ports.outbound, {...request, id: 'fourth'}), {status: 503});
	t.deepEqual(backend.executions.map(({id}) => id), ['first']);
});

test('a later instance of a backend server that has left gets requests again', async t => {
	const {desk, catalogue} = await startPair(t);
	const {backend} = catalogue;
	backend.isLeaving = true;
	const request = {host: 'a.example', path: '/read/x', id: 'first'};
	t.like(await send(desk.node.ports.outbound, request), {status: 200});
	await until(() => desk.membership.find('catalogue-1')?.state === MemberState.Draining);
	backend.isLeaving = false;
	await backend.report(catalogue.node.ports.control, {seq: 1, born: 2000});
	await until(() => desk.membership.upstreams('catalogue').length === 1);
	t.like(await send(desk.node.ports.outbound, {...request, id: 'second'}), {status: 200});
});
