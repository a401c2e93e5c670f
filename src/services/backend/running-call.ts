import {createHash} from 'node:crypto';
import {type SelfTimeTracker} from '../admission/admission-service.js';
import {type CallRequest} from '../calls/call-request.js';
import {deriveRequestId} from '../ownership/derive-request-id.js';

/** A call that the backend server is executing; its inner calls are aborted when it ends. */
export class RunningCall {
	private readonly innerCalls = new Set<AbortController>();
	private readonly occurrences = new Map<string, number>();
	private ended = false;

	constructor(readonly request: CallRequest, readonly selfTime: SelfTimeTracker) {}

	get hasEnded(): boolean {
		return this.ended;
	}

	/** Ends the call and aborts its inner calls. */
	end(): void {
		this.ended = true;
		for (const innerCall of this.innerCalls) {
			innerCall.abort();
		}
	}

	/** Starts an inner call, which is aborted when this call ends. */
	startInnerCall(controller: AbortController): void {
		this.innerCalls.add(controller);
		this.selfTime.innerCallStarted();
	}

	endInnerCall(controller: AbortController): void {
		this.innerCalls.delete(controller);
		this.selfTime.innerCallEnded();
	}

	/** Returns the id of the next inner call with these properties; identical calls are numbered in the order of their arrival. */
	nextInnerCallId(method: string, target: string, body: Uint8Array): string {
		const digest = body.length === 0 ? '' : createHash('sha256').update(body).digest('hex');
		const key = `${method} ${target} ${digest}`;
		const occurrence = this.occurrences.get(key) ?? 0;
		this.occurrences.set(key, occurrence + 1);
		return deriveRequestId(this.request.requestId, method, target, digest, occurrence);
	}
}
