import {type PolicyStepKind} from './policy-step-kind.js';

/** One step of a schedule; the numbers select a node, store or earlier patch when the step runs. */
export type PolicyStep = {
	readonly kind: PolicyStepKind;
	readonly first: number;
	readonly second: number;
	readonly pauseMs: number;
};
