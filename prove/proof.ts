import {type ProofReport} from './proof-report.js';
import {type ProofVariant} from './proof-variant.js';

/** A guarantee of the product, checked on the histories of seeded concurrent runs. */
export interface Proof {
	/** Short name of the guarantee, such as `at-most-once`. */
	readonly name: string;
	/** Whether a run starts separate processes; otherwise its services run in one process. */
	readonly separateProcesses: boolean;
	/** Runs one schedule; the same seed results in the same schedule of faults. */
	run(seed: number, variant: ProofVariant): Promise<ProofReport>;
}
