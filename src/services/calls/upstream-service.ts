import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallAnswer} from './call-answer.js';
import {type CallRequest} from './call-request.js';

export type UpstreamCall = {
	/** Same id, same execution: resends of it are recognised by the upstream's node. */
	readonly callId: string;
	/** Node ids that were tried before. */
	readonly exclude: ReadonlySet<string>;
	/** Called in the tick before the bytes leave; throws to stop the sending. */
	readonly onWillSend?: (nodeId: string) => void;
	/** Aborted when the caller has disconnected: work that has not begun is dropped, what has begun goes on and is still reported. */
	readonly unwanted?: AbortSignal;
};

/**
One execution of a call at one upstream, chosen by routing.

Errors carry `execution` and `started`: `started: false` means that the backend server certainly did not begin.
*/
export interface UpstreamService {
	execute(request: CallRequest, call: UpstreamCall, signal: AbortSignal): Promise<CallAnswer>;
}

export const UpstreamService = createServiceId<UpstreamService>('upstreams');
