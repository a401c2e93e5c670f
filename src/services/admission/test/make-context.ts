import {type CallContext} from '../../calls/call-context.js';
import {Importance} from '../../policy/importance.js';

/** A context with defaults for what a test does not care about. */
export function makeContext(changes: Partial<CallContext> = {}): CallContext {
	return {
		rootId: 'root-1',
		rootService: 'hire-desk',
		caller: 'foreman',
		importance: Importance.Normal,
		depth: 1,
		enteredAtMs: Date.now(),
		deadlineAtMs: Date.now() + 60_000,
		...changes,
	};
}
