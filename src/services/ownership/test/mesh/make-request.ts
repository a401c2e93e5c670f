import {type CallContext} from '../../../calls/call-context.js';
import {type CallRequest} from '../../../calls/call-request.js';
import {Importance} from '../../../policy/importance.js';

const patienceMs = 2000;

/** A charge as an entry node forwards it. */
export function makeRequest(requestId: string, changed: Partial<CallRequest> = {}, changedContext: Partial<CallContext> = {}): CallRequest {
	const nowMs = Date.now();
	return {
		context: {
			rootId: requestId,
			rootService: 'ledger',
			caller: 'clerk',
			importance: Importance.Critical,
			depth: 1,
			enteredAtMs: nowMs,
			deadlineAtMs: nowMs + patienceMs,
			...changedContext,
		},
		requestId,
		service: 'ledger',
		operation: 'charge',
		idempotent: false,
		method: 'POST',
		target: '/charges',
		headers: {},
		body: new Uint8Array(),
		...changed,
	};
}
