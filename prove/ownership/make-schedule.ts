import fc from 'fast-check';
import {MeshAction} from './mesh-action.js';
import {type MeshStep} from './mesh-step.js';

type ScheduleSize = {
	readonly nodes: number;
	readonly ids: number;
	readonly sends: number;
	readonly faults: number;
	readonly lengthMs: number;
	/** The only kind of fault in the schedule; by default kinds are drawn at random. */
	readonly onlyFault?: MeshAction;
};

/** Number of ids that are retried during the same period. */
const concurrentIds = 4;
/** Maximum number of kinds of faults in one schedule. With fewer kinds, faults of the same kind overlap more often. */
const maxFaultKinds = 3;
const maxFaultMs = 8000;
const faultActions = Object.values(MeshAction).filter(action => action !== MeshAction.Send);

/** Generates a schedule of attempts and faults from a seed, sorted by time. */
export function makeSchedule(seed: number, size: ScheduleSize): readonly MeshStep[] {
	const step = (action: fc.Arbitrary<MeshAction>, others: number) => fc.record({
		action,
		atMs: fc.nat(size.lengthMs),
		durationMs: fc.nat(maxFaultMs),
		node: fc.nat(size.nodes - 1),
		other: fc.nat(others - 1),
	});
	const sendStep = step(fc.constant(MeshAction.Send), concurrentIds).map(send => {
		const newest = Math.floor(send.atMs * size.ids / size.lengthMs);
		return {...send, other: Math.min(size.ids - 1, Math.max(0, newest - send.other))};
	});
	const sends = fc.array(sendStep, {minLength: size.sends, maxLength: size.sends});
	const drawn = size.onlyFault ? [size.onlyFault] : faultActions;
	const faults = fc.shuffledSubarray(drawn, {minLength: 1, maxLength: Math.min(maxFaultKinds, drawn.length)}).chain(actions =>
		fc.array(step(fc.constantFrom(...actions), size.nodes), {minLength: size.faults, maxLength: size.faults}));
	const [schedule] = fc.sample(fc.tuple(sends, faults), {seed, numRuns: 1});
	return schedule.flat().sort((one, other) => one.atMs - other.atMs);
}
