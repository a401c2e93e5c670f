import {type IncomingMessage} from 'node:http';
import {createUuid} from '../../base/create-uuid.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type SettingsService} from '../../runtime/settings/settings-service.js';
import {type CallRequest} from '../calls/call-request.js';
import {type Operation} from '../policy/operation.js';
import {type Policy} from '../policy/policy.js';
import {endToEndHeaders} from '../../runtime/http/end-to-end-headers.js';
import {readBody} from '../../runtime/http/read-body.js';
import {CallerHeader} from './caller-header.js';

/** Request id, and whether the node minted it because the caller sent no idempotency key. */
export type RequestId = {
	readonly requestId: string;
	readonly minted: boolean;
};

const keyPattern = /^[\u0021-\u007E]{1,128}$/v;
const timeoutPattern = /^[1-9]\d{0,8}$/v;

/** Builds calls from callers' HTTP requests. */
export class RequestBuilder {
	constructor(private readonly settingsService: SettingsService) {}

	/** Returns the caller's idempotency key, or a new id; throws `key-invalid`. */
	readId(message: IncomingMessage): RequestId {
		const key = message.headers[CallerHeader.IdempotencyKey];
		if (key === undefined) {
			return {requestId: createUuid(), minted: true};
		}

		if (typeof key !== 'string' || !keyPattern.test(key)) {
			throw invalidRequest(ErrorKind.KeyInvalid, 'Idempotency-Key must be 1 to 128 visible ASCII characters');
		}

		return {requestId: key, minted: false};
	}

	/** Reads the complete request; throws for malformed input before anything is executed. */
	async build(message: IncomingMessage, id: RequestId, operation: Operation, policy: Policy, enteredAtMs: number): Promise<CallRequest> {
		if (id.minted && !operation.idempotent) {
			throw invalidRequest(ErrorKind.KeyRequired, `operation ${operation.name} is not idempotent and needs an Idempotency-Key`);
		}

		const caller = findCaller(message, policy);
		const timeoutMs = Math.min(operation.timeoutMs, caller.patienceMs, requestedTimeoutMs(message));
		const body = await readBody(message, policy.maxBodyBytes);
		return {
			context: {
				rootId: id.requestId,
				...this.rootOf(id, operation),
				caller: caller.name,
				importance: operation.importance,
				depth: 1,
				enteredAtMs,
				deadlineAtMs: enteredAtMs + timeoutMs,
			},
			requestId: id.requestId,
			service: operation.service,
			operation: operation.name,
			idempotent: operation.idempotent,
			method: message.method!,
			target: message.url!,
			headers: endToEndHeaders(message.headers),
			body,
		};
	}

	private rootOf(id: RequestId, operation: Operation) {
		if (!id.minted) {
			return {rootService: operation.service};
		}

		const {settings, incarnation} = this.settingsService;
		return {rootOwner: {nodeId: settings.nodeId, incarnation}};
	}
}

function findCaller(message: IncomingMessage, policy: Policy): Policy['callers'][number] {
	const name = message.headers[CallerHeader.Caller];
	const caller = name === undefined ? policy.callers[0] : policy.callers.find(candidate => candidate.name === name);
	if (!caller) {
		throw invalidRequest(ErrorKind.CallerUnknown, 'Kumquatline-Caller does not name a caller of the policy');
	}

	return caller;
}

function requestedTimeoutMs(message: IncomingMessage): number {
	const value = message.headers[CallerHeader.TimeoutMs];
	if (value === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	if (typeof value !== 'string' || !timeoutPattern.test(value)) {
		throw invalidRequest(ErrorKind.BadRequest, 'Kumquatline-Timeout-Ms must be a whole number of milliseconds above 0');
	}

	return Number(value);
}

function invalidRequest(kind: ErrorKind, message: string): KumquatlineError {
	return new KumquatlineError(kind, message, {started: false});
}
