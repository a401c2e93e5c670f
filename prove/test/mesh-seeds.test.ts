import test from 'ava';
import {meshProof} from '../ownership/mesh-proof.js';
import {ProofVariant} from '../proof-variant.js';

/** Schedules that showed a fault once, and what it was. */
const seeds = new Map([
	[15, 'a node that was leaving kept shards that were given to it meanwhile'],
	[134, 'the end of a former owner\'s execution was taken for that of the next one\'s'],
]);

for (const [seed, fault] of seeds) {
	test.serial(`schedule ${seed}: ${fault}`, async t => {
		const report = await meshProof.run(seed, ProofVariant.Real);
		t.deepEqual(report.violations, []);
		t.is(report.unexplainedUnknowns, 0);
	});
}
