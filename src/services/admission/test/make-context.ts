import {type CallContext} from '../../calls/call-context.js';
import {Importance} from '../../policy/importance.js';

/** Creates a context with defaults for all fields that a test does not set. */
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
