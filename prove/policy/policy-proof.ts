import {StoredPolicyService} from '../../src/services/policy/stored-policy-service.js';
import {AnyEventPolicyService} from '../naive/any-event-policy-service.js';
import {LastWritePolicyService} from '../naive/last-write-policy-service.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {checkPolicyHistory} from './check-policy-history.js';
import {PolicyEventKind} from './policy-event-kind.js';
import {PolicyRun} from './policy-run.js';
import {policySchedule} from './policy-schedule.js';

/** Naive variants alternate by seed. */
const naiveClasses = [LastWritePolicyService, AnyEventPolicyService];

/** Patches are accepted or rejected as a whole, accepted versions are in force at every node within the bound, and no node returns to an earlier one. */
export const policyProof: Proof = {
	name: 'policy',
	separateProcesses: false,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const policyClass = variant === ProofVariant.Real ? StoredPolicyService : naiveClasses[seed % naiveClasses.length];
		const run = new PolicyRun(seed, policyClass);
		await run.run(policySchedule(seed));
		const count = (kind: PolicyEventKind): number => run.events.filter(event => event.kind === kind).length;
		return {
			schedules: 1,
			faultsByKind: run.faultsByKind,
			ids: run.patchCount,
			executions: count(PolicyEventKind.Stored),
			refusalsByKind: run.refusalsByKind,
			unknowns: count(PolicyEventKind.Unknown),
			unexplainedUnknowns: 0,
			violations: checkPolicyHistory(run.events),
		};
	},
};
