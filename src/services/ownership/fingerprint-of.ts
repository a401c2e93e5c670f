import {createHash} from 'node:crypto';
import {type CallRequest} from '../calls/call-request.js';

/** Digest of what a request id stands for: repeats of an id have to be the same request. */
export function fingerprintOf({context, operation, method, target, body}: CallRequest): string {
	return createHash('sha256').update(JSON.stringify([context.caller, operation, method, target])).update(body).digest('base64url');
}
