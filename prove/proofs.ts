import {meshProof} from './ownership/mesh-proof.js';
import {PolicyProof} from './policy/policy-proof.js';
import {faultProof} from './process/fault-proof.js';
import {retryProof} from './process/retry-proof.js';
import {type Proof} from './proof.js';

/** Every proof there is; each area adds its own here. */
export const proofs: readonly Proof[] = [
	meshProof,
	new PolicyProof(),
	faultProof,
	retryProof,
];
