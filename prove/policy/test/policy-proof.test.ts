import test from 'ava';
import {AnyEventPolicyService} from '../../naive/any-event-policy-service.js';
import {LastWritePolicyService} from '../../naive/last-write-policy-service.js';
import {checkPolicyHistory} from '../check-policy-history.js';
import {PolicyRun} from '../policy-run.js';
import {policySchedule} from '../policy-schedule.js';
import {type PolicyServiceClass} from '../proof-node.js';

const naiveRuns = 6;

async function findViolations(policyClass: PolicyServiceClass): Promise<string[]> {
	const violations: string[] = [];
	for (let seed = 1; seed <= naiveRuns; seed++) {
		const run = new PolicyRun(seed, policyClass);
		await run.run(policySchedule(seed));
		violations.push(...checkPolicyHistory(run.events));
	}

	return violations;
}

test.serial('the check finds conflicting versions if the last write wins', async t => {
	const violations = await findViolations(LastWritePolicyService);
	t.true(violations.some(violation => violation.includes('two contents')));
});

test.serial('the check finds nodes that return to an earlier version', async t => {
	const violations = await findViolations(AnyEventPolicyService);
	t.true(violations.some(violation => violation.includes('went from version')));
});
