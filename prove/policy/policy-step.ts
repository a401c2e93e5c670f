import {type PolicyStepKind} from './policy-step-kind.js';

/** One step of a schedule; the numbers choose among what is there when the step comes. */
export type PolicyStep = {
	readonly kind: PolicyStepKind;
	readonly first: number;
	readonly second: number;
	readonly pauseMs: number;
};
