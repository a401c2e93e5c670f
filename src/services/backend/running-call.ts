import {createHash} from 'node:crypto';
import {type ErrorKind} from '../../base/error-kind.js';
import {type OwnTime} from '../admission/admission-service.js';
import {type CallRequest} from '../calls/call-request.js';
import {deriveRequestId} from '../ownership/derive-request-id.js';

/** A call that runs on the backend server; its end aborts its sub-calls. */
export class RunningCall {
	private readonly controller = new AbortController();
	private readonly occurrences = new Map<string, number>();
	private endKind: ErrorKind | undefined;

	constructor(readonly request: CallRequest, readonly ownTime: OwnTime) {}

	get signal(): AbortSignal {
		return this.controller.signal;
	}

	/** Why the call ended before its answer, if it did. */
	get endedBy(): ErrorKind | undefined {
		return this.endKind;
	}

	/** Ends the call before its answer. */
	endEarly(kind: ErrorKind.DeadlineExceeded | ErrorKind.CallerGone): void {
		this.endKind ??= kind;
		this.controller.abort();
	}

	end(): void {
		this.controller.abort();
	}

	/** Id of the next sub-call like this; equal ones are numbered in the order of their arrival. */
	nextSubCallId(method: string, target: string, body: Uint8Array): string {
		const digest = body.length === 0 ? '' : createHash('sha256').update(body).digest('hex');
		const key = `${method} ${target} ${digest}`;
		const occurrence = this.occurrences.get(key) ?? 0;
		this.occurrences.set(key, occurrence + 1);
		return deriveRequestId(this.request.requestId, method, target, digest, occurrence);
	}
}
