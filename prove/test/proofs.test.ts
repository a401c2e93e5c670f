import test from 'ava';
import {ProofVariant} from '../proof-variant.js';
import {proofs} from '../proofs.js';
import {runProof} from '../run-proof.js';

const firstSeed = 1;
const schedulesInOneProcess = 10;
const runsOfProcesses = 1;

test('proof names are unique', t => {
	t.is(new Set(proofs.map(proof => proof.name)).size, proofs.length);
});

for (const proof of proofs) {
	const schedules = proof.separateProcesses ? runsOfProcesses : schedulesInOneProcess;

	test.serial(`${proof.name} holds on ${schedules} schedules from seed ${firstSeed}`, async t => {
		const report = await runProof(proof, ProofVariant.Real, firstSeed, schedules);
		t.deepEqual(report.violations, []);
		t.true(report.ids > 0);
	});

	test.serial(`${proof.name} finds violations in its naive variant`, async t => {
		const report = await runProof(proof, ProofVariant.Naive, firstSeed, schedules);
		t.true(report.violations.length > 0);
	});
}
