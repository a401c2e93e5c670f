import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {Execution} from '../../../base/execution.js';
import {deriveRequestId} from '../derive-request-id.js';
import {OwnershipService} from '../ownership-service.js';
import {makeRequest} from './mesh/make-request.js';
import {MeshFixture} from './mesh/mesh-fixture.js';

test.serial('a request with a reserved id and its inner call are executed once each during an outage of the store', async t => {
	await MeshFixture.with(3, async fixture => {
		fixture.mesh.parts.store.isDown = true;
		await fixture.advance(10_000);
		const [reserved] = fixture.mesh.nodes[0].get(OwnershipService).reserve(1);
		const derived = deriveRequestId(reserved, 'POST', '/charges', '', 0);
		for (const id of [reserved, derived]) {
			const outcomes = await fixture.settle(Promise.all(fixture.mesh.nodes.map(async node => fixture.attempt(node, makeRequest(id)))));
			t.deepEqual(outcomes, fixture.mesh.nodes.map(() => ({answer: `done ${id}`})));
		}

		t.is(fixture.mesh.parts.backends.executions.length, 2);
	});
});

test.serial('a request with a forged reserved id is never executed', async t => {
	await MeshFixture.with(2, async fixture => {
		const [reserved] = fixture.mesh.nodes[0].get(OwnershipService).reserve(1);
		const forged = reserved.slice(0, -2) + (reserved.endsWith('AA') ? 'BA' : 'AA');
		t.deepEqual(await fixture.attemptAndSettle(fixture.mesh.nodes[1], makeRequest(forged)), {kind: ErrorKind.KeyInvalid, execution: Execution.NotRun, started: false});
		t.is(fixture.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('a request with a reserved id is never executed again after the incarnation that minted the id has ended', async t => {
	await MeshFixture.with(2, async fixture => {
		const [minter, other] = fixture.mesh.nodes;
		const [reserved] = minter.get(OwnershipService).reserve(1);
		await fixture.attemptAndSettle(other, makeRequest(reserved));
		await fixture.settle(fixture.mesh.kill(minter));
		await fixture.settle(fixture.mesh.add(minter.nodeId));
		t.deepEqual(await fixture.attemptAndSettle(other, makeRequest(reserved)), {kind: ErrorKind.OwnerUnreachable, execution: Execution.Unknown, started: false});
		t.is(fixture.mesh.parts.backends.executions.length, 1);
	});
});
