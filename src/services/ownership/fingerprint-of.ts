import {createHash} from 'node:crypto';
import {type CallRequest} from '../calls/call-request.js';

/** Digest of a request: all attempts with the same request id have to carry the same request. */
export function fingerprintOf({context, operation, method, target, body}: CallRequest): string {
	return createHash('sha256').update(JSON.stringify([context.caller, operation, method, target])).update(body).digest('base64url');
}
