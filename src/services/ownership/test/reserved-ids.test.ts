import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {Execution} from '../../../base/execution.js';
import {deriveRequestId} from '../derive-request-id.js';
import {OwnershipService} from '../ownership-service.js';
import {makeRequest} from './mesh/make-request.js';
import {MeshBench} from './mesh/mesh-bench.js';

test.serial('a reserved id and its inner call are executed once each during an outage of the store', async t => {
	await MeshBench.with(3, async bench => {
		bench.mesh.parts.store.isDown = true;
		await bench.pass(10_000);
		const [reserved] = bench.mesh.nodes[0].get(OwnershipService).reserve(1);
		const derived = deriveRequestId(reserved, 'POST', '/charges', '', 0);
		for (const id of [reserved, derived]) {
			const outcomes = await bench.settle(Promise.all(bench.mesh.nodes.map(async node => bench.attempt(node, makeRequest(id)))));
			t.deepEqual(outcomes, bench.mesh.nodes.map(() => ({answer: `done ${id}`})));
		}

		t.is(bench.mesh.parts.backends.executions.length, 2);
	});
});

test.serial('a forged reserved id is never executed', async t => {
	await MeshBench.with(2, async bench => {
		const [reserved] = bench.mesh.nodes[0].get(OwnershipService).reserve(1);
		const forged = reserved.slice(0, -2) + (reserved.endsWith('AA') ? 'BA' : 'AA');
		t.deepEqual(await bench.attempted(bench.mesh.nodes[1], makeRequest(forged)), {kind: ErrorKind.KeyInvalid, execution: Execution.NotRun, started: false});
		t.is(bench.mesh.parts.backends.executions.length, 0);
	});
});

test.serial('a reserved id is never executed again once the incarnation that minted it is gone', async t => {
	await MeshBench.with(2, async bench => {
		const [minter, other] = bench.mesh.nodes;
		const [reserved] = minter.get(OwnershipService).reserve(1);
		await bench.attempted(other, makeRequest(reserved));
		await bench.settle(bench.mesh.kill(minter));
		await bench.settle(bench.mesh.add(minter.nodeId));
		t.deepEqual(await bench.attempted(other, makeRequest(reserved)), {kind: ErrorKind.OwnerUnreachable, execution: Execution.Unknown, started: false});
		t.is(bench.mesh.parts.backends.executions.length, 1);
	});
});
