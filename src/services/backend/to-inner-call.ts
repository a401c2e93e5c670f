import {type IncomingMessage} from 'node:http';
import {endToEndHeaders} from '../../runtime/http/end-to-end-headers.js';
import {type CallRequest} from '../calls/call-request.js';
import {type Operation} from '../policy/operation.js';
import {type RunningCall} from './running-call.js';

/** Builds the inner call for a backend server's request on behalf of a running call: same root, one level deeper, no later deadline. */
export function toInnerCall(parent: RunningCall, operation: Operation, message: IncomingMessage, body: Uint8Array): CallRequest {
	const {context} = parent.request;
	const method = message.method!;
	const target = message.url!;
	return {
		context: {
			...context,
			depth: context.depth + 1,
			deadlineAtMs: Math.min(context.deadlineAtMs, Date.now() + operation.timeoutMs),
		},
		requestId: parent.nextInnerCallId(method, target, body),
		service: operation.service,
		operation: operation.name,
		idempotent: operation.idempotent,
		method,
		target,
		headers: endToEndHeaders(message.headers),
		body,
	};
}
