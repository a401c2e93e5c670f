import {addReports} from './add-reports.js';
import {emptyReport} from './empty-report.js';
import {type Proof} from './proof.js';
import {type ProofReport} from './proof-report.js';
import {type ProofVariant} from './proof-variant.js';

/** Runs schedules of consecutive seeds one after the other and sums their reports. */
export async function runProof(proof: Proof, variant: ProofVariant, firstSeed: number, schedules: number): Promise<ProofReport> {
	let total = emptyReport;
	for (let seed = firstSeed; seed < firstSeed + schedules; seed++) {
		const report = await proof.run(seed, variant);
		const violations = report.violations.map(violation => `seed ${seed}: ${violation}`);
		total = addReports(total, {...report, schedules: 1, violations});
	}

	return total;
}
