import test from 'ava';
import {meshProof} from '../ownership/mesh-proof.js';
import {ProofVariant} from '../proof-variant.js';

/** Seeds of schedules that once showed a fault, with the fault. */
const seeds = new Map([
	[15, 'a leaving node kept shards that were assigned to it meanwhile'],
	[134, 'the end of an execution of the previous owner was taken for the end of its successor\'s'],
]);

for (const [seed, fault] of seeds) {
	test.serial(`schedule ${seed}: ${fault}`, async t => {
		const report = await meshProof.run(seed, ProofVariant.Real);
		t.deepEqual(report.violations, []);
		t.is(report.unexplainedUnknowns, 0);
	});
}
