import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallCounts} from './call-graph-service.js';

/** The requests that the VM's backend server is executing; their inner calls arrive at the same node. */
export interface RunningRequests {
	/** Starts counting the inner calls of a request with a priority. */
	start(requestId: string, priority: number): void;
	/** Ends a request and returns the inner calls that it made. */
	end(requestId: string): CallCounts;
	/** Priority of the parent of an inner call, whose id is the parent's id, a dot and one more part; undefined if no such parent is running. */
	parentPriority(requestId: string): number | undefined;
	/** Counts calls towards their parent request if that is still running. */
	countCalls(requestId: string, calls: CallCounts): void;
}

export const RunningRequests = createServiceId<RunningRequests>('running-requests');
