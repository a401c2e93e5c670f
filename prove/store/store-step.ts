import {type StoreStepKind} from './store-step-kind.js';

/** One step of a schedule. */
export type StoreStep = {
	readonly kind: StoreStepKind;
	readonly pauseMs: number;
};
