import {createHash} from 'node:crypto';
import {type OwnTime} from '../admission/admission-service.js';
import {type CallRequest} from '../calls/call-request.js';
import {deriveRequestId} from '../ownership/derive-request-id.js';

/** A call that runs on the backend server; its end aborts its sub-calls. */
export class RunningCall {
	private readonly subCalls = new Set<AbortController>();
	private readonly occurrences = new Map<string, number>();
	private ended = false;

	constructor(readonly request: CallRequest, readonly ownTime: OwnTime) {}

	get hasEnded(): boolean {
		return this.ended;
	}

	/** Ends the call and its sub-calls with it. */
	end(): void {
		this.ended = true;
		for (const subCall of this.subCalls) {
			subCall.abort();
		}
	}

	/** Begins a sub-call, which is aborted when this call ends. */
	beginSubCall(controller: AbortController): void {
		this.subCalls.add(controller);
		this.ownTime.subCallBegan();
	}

	endSubCall(controller: AbortController): void {
		this.subCalls.delete(controller);
		this.ownTime.subCallEnded();
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
