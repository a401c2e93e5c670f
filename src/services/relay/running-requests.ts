import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallCounts} from './call-graph-service.js';

/** The requests at work at the VM's backend server, whose calls come in at the same node. */
export interface RunningRequests {
	/** Begins to count the calls of a request. */
	begin(requestId: string): void;
	/** Ends a request and returns the calls that were made for it. */
	end(requestId: string): CallCounts;
	/** Whether a request id is that of a call which a running request makes: the id of the latter, a dot and one more part. */
	isCalledFor(requestId: string): boolean;
	/** Counts a call for the request that makes it, if it still runs. */
	noteCall(requestId: string, calls: CallCounts): void;
}

export const RunningRequests = createServiceId<RunningRequests>('running-requests');
