import fc from 'fast-check';
import {type StoreStep} from './store-step.js';
import {StoreStepKind} from './store-step-kind.js';

const minSteps = 15;
const maxSteps = 40;
const maxPauseMs = 30;

/** Extra entries make calls more frequent than faults. */
const kinds = [
	...Object.values(StoreStepKind),
	StoreStepKind.Read,
	StoreStepKind.Swap,
	StoreStepKind.Swap,
	StoreStepKind.Renewal,
	StoreStepKind.OtherWrite,
	StoreStepKind.Silent,
	StoreStepKind.Heal,
];

const step = fc.record<StoreStep>({
	kind: fc.constantFrom(...kinds),
	pauseMs: fc.nat(maxPauseMs),
});

/** Generates the schedule of a seed. */
export function storeSchedule(seed: number): readonly StoreStep[] {
	const [steps] = fc.sample(fc.array(step, {minLength: minSteps, maxLength: maxSteps, size: 'max'}), {seed, numRuns: 1});
	return steps;
}
