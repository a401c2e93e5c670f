import fc from 'fast-check';
import {type RelayFault} from '../../standins/relay/relay-fault.js';
import {type AnswerStep} from './answer-step.js';

export type ScheduleShape = {
	readonly nodes: number;
	readonly requests: number;
	readonly faults: number;
	readonly lengthMs: number;
	readonly faultKinds: readonly RelayFault[];
	/** Whether faults are also injected into the relays in front of backend servers. */
	readonly hasBackendFaults: boolean;
};

const maxServiceTimeMs = 30;
/** Maximum number of marks in an answer, so that some answers take several socket reads to arrive. */
const maxParts = 3000;
const maxAmount = 3000;

/** Generates the schedule of a seed, sorted by time. */
export function makeAnswerSchedule(seed: number, shape: ScheduleShape): AnswerStep[] {
	const time = {atMs: fc.nat(shape.lengthMs), node: fc.nat(shape.nodes - 1)};
	const request = fc.record({...time, request: fc.record({idempotent: fc.boolean(), delayMs: fc.nat(maxServiceTimeMs), parts: fc.integer({min: 1, max: maxParts})})});
	const fault = fc.record({
		...time, fault: fc.record({
			kind: fc.constantFrom(...shape.faultKinds),
			atBackend: shape.hasBackendFaults ? fc.boolean() : fc.constant(false),
			amount: fc.integer({min: 1, max: maxAmount}),
		}),
	});
	const steps = fc.tuple(
		fc.array(request, {minLength: shape.requests, maxLength: shape.requests}),
		fc.array(fault, {minLength: shape.faults, maxLength: shape.faults}),
	);
	const [[requests, faults]] = fc.sample(steps, {seed, numRuns: 1});
	return [...requests, ...faults].sort((left, right) => left.atMs - right.atMs);
}
