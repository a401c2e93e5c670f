import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** What a node tells operators of itself, as a JSON document. */
export interface StatusService {
	report(): unknown;
}

export const StatusService = createServiceId<StatusService>('status');
