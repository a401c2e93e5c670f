import {type ProofReport} from './proof-report.js';
import {type ProofVariant} from './proof-variant.js';

/** A promise of the product, checked on the history of seeded concurrent runs. */
export interface Proof {
	/** Short name of the promise, such as `at-most-once`. */
	readonly name: string;
	/** Where the run takes place: services in one process, or separate processes. */
	readonly separateProcesses: boolean;
	/** Runs one schedule; the same seed gives the same schedule of faults. */
	run(seed: number, variant: ProofVariant): Promise<ProofReport>;
}
