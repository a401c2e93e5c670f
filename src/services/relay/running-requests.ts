import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallCounts} from './call-graph-service.js';

/** The requests at work at the VM's backend server, whose calls come in at the same node. */
export interface RunningRequests {
	/** Begins to count the calls of a request of a priority. */
	begin(requestId: string, priority: number): void;
	/** Ends a request and returns the calls that were made for it. */
	end(requestId: string): CallCounts;
	/** Priority of the running request that makes a call, whose id is that of the former, a dot and one more part; undefined for what is no such call. */
	callerPriority(requestId: string): number | undefined;
	/** Counts a call for the request that makes it, if it still runs. */
	noteCall(requestId: string, calls: CallCounts): void;
}

export const RunningRequests = createServiceId<RunningRequests>('running-requests');
