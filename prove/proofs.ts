import {silentConnectionsProof} from './answers/silent-connections-proof.js';
import {wholeAnswersProof} from './answers/whole-answers-proof.js';
import {meshProof} from './ownership/mesh-proof.js';
import {meshRetriesProof} from './ownership/mesh-retries-proof.js';
import {policyProcessProof} from './policy/policy-process-proof.js';
import {policyProof} from './policy/policy-proof.js';
import {faultProof} from './process/fault-proof.js';
import {retryProof} from './process/retry-proof.js';
import {leavingProof} from './process/leaving-proof.js';
import {shutdownProof} from './process/shutdown-proof.js';
import {type Proof} from './proof.js';
import {storeProof} from './store/store-proof.js';
import {zoneCutProof} from './zones/zone-cut-proof.js';

/** All proofs; each area adds its own here. */
export const proofs: readonly Proof[] = [
	meshProof,
	meshRetriesProof,
	policyProof,
	storeProof,
	policyProcessProof,
	faultProof,
	retryProof,
	shutdownProof,
	wholeAnswersProof,
	silentConnectionsProof,
	leavingProof,
	zoneCutProof,
];
