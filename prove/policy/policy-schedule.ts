import fc from 'fast-check';
import {type PolicyStep} from './policy-step.js';
import {PolicyStepKind} from './policy-step-kind.js';

const minSteps = 6;
const maxSteps = 14;
const maxPauseMs = 40;
const maxChoice = 1000;

/** Extra entries make changes more frequent than faults. */
const kinds = [
	...Object.values(PolicyStepKind),
	PolicyStepKind.Patch,
	PolicyStepKind.Patch,
	PolicyStepKind.Race,
	PolicyStepKind.Repeat,
	PolicyStepKind.Heal,
];

const step = fc.record<PolicyStep>({
	kind: fc.constantFrom(...kinds),
	first: fc.nat(maxChoice),
	second: fc.nat(maxChoice),
	pauseMs: fc.nat(maxPauseMs),
});

/** Generates the schedule of a seed. */
export function policySchedule(seed: number): readonly PolicyStep[] {
	const [steps] = fc.sample(fc.array(step, {minLength: minSteps, maxLength: maxSteps, size: 'max'}), {seed, numRuns: 1});
	return steps;
}
