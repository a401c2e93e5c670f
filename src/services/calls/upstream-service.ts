import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallAnswer} from './call-answer.js';
import {type CallRequest} from './call-request.js';

export type UpstreamCall = {
	/** Identifies the execution, so that the upstream's node recognises a resent call. */
	readonly callId: string;
	/** Node ids that were tried before. */
	readonly exclude: ReadonlySet<string>;
	/** Called in the tick before the call is sent; throws to prevent the sending. */
	readonly onWillSend?: (nodeId: string) => void;
	/** Aborted when the caller has disconnected: a call that has not started is dropped, one that has started continues and its outcome is still reported. */
	readonly dropSignal?: AbortSignal;
};

/**
Executes a call once, at one upstream that routing chooses.

Errors carry `execution` and `started`: `started: false` means that the backend server certainly did not start the execution.
*/
export interface UpstreamService {
	execute(request: CallRequest, call: UpstreamCall, signal: AbortSignal): Promise<CallAnswer>;
}

export const UpstreamService = createServiceId<UpstreamService>('upstreams');
