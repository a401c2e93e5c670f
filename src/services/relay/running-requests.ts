import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** Ids of the requests at work at the VM's backend server, whose calls come in at the same node. */
export interface RunningRequests {
	add(requestId: string): void;
	delete(requestId: string): void;
	/** Whether a request id is that of a call which a running request makes: the id of the latter, a dot and one more part. */
	isCalledFor(requestId: string): boolean;
}

export const RunningRequests = createServiceId<RunningRequests>('running-requests');
